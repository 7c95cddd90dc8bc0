package gateway

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/quarantine"
)

// TestMessagesBetweenGateways checks that the wire format between gateways does not change, since two versions run side
// by side during an upgrade.
func TestMessagesBetweenGateways(t *testing.T) {
	load := dispatch.Load{Running: 1, PrefillMs: 2, UsedTokens: 3}
	tests := map[string]struct {
		message any
		want    string
	}{
		"report": {
			message: reportMessage{
				Report: placer.Report{
					GatewayID: "g1", Addr: "a1", Hall: "h1", Loads: map[string]dispatch.Load{"s": load},
					Demands: map[string]dispatch.Demand{"m": {Arrived: 1, WorkTokens: 2, Waiting: 3, Running: 4, Service: "llm"}},
					Full:    true, GatewaysVersion: 5, ResidencyVersion: 6,
				},
				ConfigVersion: 7,
			},
			want: `{"from":"g1","addr":"a1","hall":"h1","loads":{"s":{"n":1,"r":2,"u":3}},` +
				`"demands":{"m":{"a":1,"t":2,"w":3,"n":4,"s":"llm"}},"full":true,"known":5,"residency":6,"config":7}`,
		},
		"report with ends of servers": {
			message: reportMessage{Report: placer.Report{GatewayID: "g1", Addr: "a1", Hall: "h1"}, Quarantine: quarantine.Message{
				Records: []quarantine.Record{{Key: quarantine.Key{1}, Generation: 2, Servers: []string{"s"}, AgeMs: 3}},
				Seen:    quarantine.Cursor{Epoch: 4, Version: 5},
			}},
			want: `{"from":"g1","addr":"a1","hall":"h1","residency":0,"config":0,"quarantine":{"records":[` +
				`{"k":"01000000000000000000000000000000","r":2,"s":["s"],"a":3}],"seen":{"e":4,"v":5}}}`,
		},
		"reply with ends of servers": {
			message: replyMessage{Quarantine: &quarantine.Reply{
				Cursor: quarantine.Cursor{Epoch: 4, Version: 5}, Records: []quarantine.Record{{Key: quarantine.Key{1}, AgeMs: 3}},
			}},
			want: `{"held":false,"version":0,"news":{},"quarantine":{"e":4,"v":5,"records":[` +
				`{"k":"01000000000000000000000000000000","a":3}]}}`,
		},
		"reply of the leader": {
			message: replyMessage{
				Reply: placer.Reply{
					IsLeader: true, Term: 1, GatewaysVersion: 2, Loads: map[string]dispatch.Load{"s": load}, BusiestOnly: true,
					Gateways:         []placer.Gateway{{Gateway: dispatch.Gateway{ID: "g1", Hall: "h1"}, Addr: "a1"}},
					ResidencyVersion: 3, Full: true,
					Residency: map[string]backend.Residency{"s": {Residents: []backend.Resident{{Model: "m", Version: 4, Adapters: []string{"a"}}}}},
				},
				Config: configsync.Announcement{Version: 8, Revision: 9, AgeMs: 10},
			},
			want: `{"held":true,"term":1,"known":2,"gateways":[{"id":"g1","hall":"h1","addr":"a1"}],` +
				`"loads":{"s":{"n":1,"r":2,"u":3}},"partial":true,"version":3,"full":true,` +
				`"residency":{"s":{"r":[{"m":"m","v":4,"a":["a"]}]}},"news":{"version":8,"revision":9,"age":10}}`,
		},
		"request for changes of the store": {
			message: feedRequest{Progress: kv.Progress{Revisions: map[string]kv.Revision{"p": 8}}, ConfigVersion: 7, Addr: "a1"},
			want:    `{"seen":{"p":8},"config":7,"addr":"a1"}`,
		},
		"changes of the store": {
			message: feedReply{
				Changes: map[string]kv.Batch{"p": {
					From: 5, To: 6, Events: []kv.Event{{Entry: kv.Entry{Key: "k", Value: []byte("v"), Revision: 6}}}, Full: true,
					Filtered: true, AgeMs: 7,
				}},
				Config: configsync.Announcement{Version: 8, Revision: 9, AgeMs: 10}, HeldMs: 11,
			},
			want: `{"changes":{"p":{"from":5,"at":6,"events":[{"Entry":{"key":"k","value":"dg==","revision":6},"Deleted":false}],` +
				`"full":true,"left":true,"age":7}},"news":{"version":8,"revision":9,"age":10},"held":11}`,
		},
		"reply of another gateway": {
			message: replyMessage{Leader: "a2"}, want: `{"held":false,"version":0,"holder":"a2","news":{}}`,
		},
		"request for the configuration": {
			message: configsync.Request{Have: 1}, want: `{"have":1}`,
		},
		"configuration": {
			message: configsync.Transfer{Version: 2, Base: 1, Patch: []byte("p")}, want: `{"version":2,"base":1,"patch":"cA=="}`,
		},
		"request for admission": {
			message: dispatch.AdmissionRequest{
				Server: "s", Model: "m", Adapter: "a", Prefix: []dispatch.PrefixBlock{{ID: "b", Tokens: 1}}, PromptTokens: 2,
				MaxOutputTokens: 3, Gap: dispatch.GapBudget{MaxGap: 4.5, StepsPerEvent: 5},
			},
			want: `{"s":"s","m":"m","a":"a","k":[{"i":"b","t":1}],"p":2,"o":3,"l":{"p":4.5,"s":5}}`,
		},
		"admission": {
			message: dispatch.AdmissionReply{Owned: true, Admitted: true, Load: load}, want: `{"y":true,"g":true,"l":{"n":1,"r":2,"u":3}}`,
		},
		"no admission": {
			message: dispatch.AdmissionReply{Owned: true, RetryAfterMs: 9}, want: `{"y":true,"l":{"n":0},"a":9}`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(test.message)
			assert.NilError(t, err)
			assert.Equal(t, string(got), test.want)
		})
	}
}
