package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReportTarget checks which gateway is reported to, depending on what is known. In particular, the gateway in the
// lease's record must be tried again if no other is known, since it may have become the leader again after a restart.
func TestReportTarget(t *testing.T) {
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
			r := &reporter{self: sender{addr: self}, gateways: newDirectory(self, 6, test.seeds, false), leaseAddr: test.record}
			for addr, reply := range test.replies {
				r.updateLeader(addr, reply)
			}
			assert.Equal(t, r.target(), test.want)
		})
	}
}
