package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWhereToReport checks whom a gateway reports to by what it knows. After a restart of all gateways
// the former leader, which its record still named, said that it does not lead, and then became the
// leader again under the same address: gateways that knew no other reported to nobody for good, so they
// had no part in the load, the owners of engines or the retry budget.
func TestWhereToReport(t *testing.T) {
	const self, record, seed = "self", "record", "seed"
	tests := map[string]struct {
		seeds   []string
		record  string
		replies map[string]replyMessage
		want    string
	}{
		"nobody is known":                       {want: ""},
		"the record":                            {record: record, want: record},
		"one named by the settings":             {seeds: []string{self, seed}, want: seed},
		"the record said no, another is known":  {seeds: []string{seed}, record: record, replies: map[string]replyMessage{record: {}}, want: seed},
		"the record said no, no other is known": {record: record, replies: map[string]replyMessage{record: {}}, want: record},
		"another names the leader":              {seeds: []string{seed}, replies: map[string]replyMessage{seed: {Leader: "leader"}}, want: "leader"},
		"its own record of before a restart":    {record: self, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &reporter{self: sender{addr: self}, gateways: newDirectory(self, 6, test.seeds, false), record: test.record}
			for addr, reply := range test.replies {
				r.noteLeader(addr, reply)
			}
			assert.Equal(t, r.target(), test.want)
		})
	}
}
