package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/cli"
)

const logA = `{"level":"info","ts":1000,"msg":"started","vm":"a"}
{"level":"info","ts":5200,"msg":"send failed","vm":"a","request":"r1","server":"s1","reason":"lost"}
{"level":"info","ts":5300,"msg":"request ended","vm":"a","request":"r1","server":"s2","outcome":"answered"}
{"level":"info","ts":5400,"msg":"request ended","vm":"a","request":"r2","server":"s9","outcome":"answered"}
{"level":"info","ts":5500,"msg":"send failed","vm":"a","request":"r3","digest":"d1","server":"s5","reason":"lost"}
{"level":"info","ts":5600,"msg":"server ended","vm":"a","server":"s5","digests":["d2","d1"]}
{"level":"info","ts":5700,"msg":"request ended","vm":"a","request":"r4","digest":"d1","outcome":"quarantined"}
{"level":"info","ts":50800,"msg":"request ended","vm":"a","request":"r5","digest":"d5","parts":["p0","p1","own"],"outcome":"unknown"}
{"level":"info","ts":50900,"msg":"server ended","vm":"a","server":"s6","digests":["d5"],"parts":["p0","p1"],"trials":["p1"]}
{"level":"info","ts":51000,"msg":"request quarantined","vm":"a","digest":"d6","kind":"part","part":"p1"}
`

const logB = `12.5 b {"level":"info","ts":5100,"msg":"server seen","vm":"b","server":"s1","leaving":true}
not JSON at all
{"level":"info","ts":95100,"msg":"server seen","vm":"b","server":"s1","leaving":false}
`

func TestTrace(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(a, []byte(logA), 0o600))
	assert.NilError(t, os.WriteFile(b, []byte(logB), 0o600))
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"one request": {
			args: []string{"trace", "r1", a, b}, want: []string{"a send failed: reason=lost server=s1", "a request ended: outcome=answered server=s2"},
		},
		"with its servers": {
			args: []string{"trace", "-around", "r1", a, b},
			want: []string{"b server seen: leaving=true server=s1", "a send failed", "a request ended: outcome=answered server=s2"},
		},
		"all copies of a request": {
			args: []string{"trace", "d1", a, b},
			want: []string{"send failed: digest=d1", "server ended: digests=[d2 d1]", "request ended: digest=d1 outcome=quarantined"},
		},
		"all requests with a part": {
			args: []string{"trace", "p1", a, b},
			want: []string{"request ended: digest=d5 outcome=unknown parts=[p0 p1 own]", "server ended: digests=[d5] parts=[p0 p1] server=s6 trials=[p1]", "request quarantined: digest=d6 kind=part part=p1"},
		},
		"unknown request": {args: []string{"trace", "r7", a, b}, code: cli.ExitFailed},
		"no file":         {args: []string{"trace", "r1"}, code: cli.ExitUsage},
		"missing file":    {args: []string{"trace", "r1", filepath.Join(dir, "none")}, code: cli.ExitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			code := cli.Run(context.Background(), test.args, nil, &out, &stderr)
			assert.Equal(t, code, test.code, "%s", stderr.String())
			var lines []string
			if out.Len() > 0 {
				lines = strings.Split(strings.TrimSpace(out.String()), "\n")
			}
			assert.Equal(t, len(lines), len(test.want), "%s", out.String())
			for i, want := range test.want {
				assert.Assert(t, strings.Contains(lines[i], want), "%q lacks %q", lines[i], want)
			}
		})
	}
}
