package cli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/cli"
)

// summaryLog holds log lines of two gateways: two are malformed and one has a prefix.
const summaryLog = `{"ts":5000,"msg":"move planned","vm":"a","server":"s1","model":"m1","source":"store"}
{"ts":5200,"msg":"request ended","vm":"a","model":"m1/a1","route":"r","outcome":"answered","sends":1,"asked":2,"denied":1,"waited_s":0.2,"first_s":0.5,"total_s":0.7}
not JSON at all
12.5 b {"ts":6300,"msg":"request ended","vm":"b","model":"m1","route":"r","outcome":"refused","sends":0,"holders":0,"asked":4,"denied":4,"total_s":3}
{"ts":6400,"msg":"request ended","vm":"b","model":"","route":"q","outcome":"answered","sends":1,"total_s":0.1,"left_out":5}
{"ts":14000,"msg":"model loaded","vm":"a","server":"s1","model":"m1"}
{"ts":14100,"msg":"watching the store directly","vm":"b","prefix":"servers/"}
{"ts":14200,"msg":7}
`

func TestSummary(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	assert.NilError(t, os.WriteFile(file, []byte(summaryLog), 0o600))
	tests := map[string]struct {
		args  []string
		code  int
		names []string
	}{
		"by model":       {args: []string{"-json"}, names: []string{"m1", "-"}},
		"by route":       {args: []string{"-json", "-by", "route"}, names: []string{"r", "q"}},
		"by second":      {args: []string{"-json", "-by", "second"}, names: []string{"3", "4", "6"}},
		"by gateway":     {args: []string{"-json", "-by", "gateway"}, names: []string{"b", "a"}},
		"only the worst": {args: []string{"-json", "-most", "1"}, names: []string{"m1"}},
		"by nothing":     {args: []string{"-json", "-by", "moon"}, code: cli.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			code := cli.Run(t.Context(), append(append([]string{"summary"}, test.args...), file), nil, &out, &stderr)
			assert.Equal(t, code, test.code, "%s", stderr.String())
			if code != cli.ExitOK {
				return
			}
			var r struct {
				Rows []struct {
					Name     string
					Refused  int
					NoHolder int     `json:"no_holder"`
					Asked    float64 `json:"asked_each"`
				}
				All struct {
					Requests, Answered, Refused int
				}
				Moves struct {
					Planned, Loaded int
					P50             float64 `json:"plan_to_loaded_p50_s"`
				}
				Events []struct {
					Name  string
					Times int
				}
				Lines, Spoiled int
				LeftOut        int `json:"left_out"`
			}
			assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
			var names []string
			for _, row := range r.Rows {
				names = append(names, row.Name)
			}
			assert.DeepEqual(t, names, test.names)
			assert.Equal(t, fmt.Sprint(r.All), "{3 2 1}")
			assert.Equal(t, r.Moves.Planned, 1)
			assert.Equal(t, r.Moves.Loaded, 1)
			assert.Assert(t, r.Moves.P50 > 8 && r.Moves.P50 < 10, "%v", r.Moves.P50)
			assert.Equal(t, r.Lines, 8)
			assert.Equal(t, r.Spoiled, 2)
			assert.Equal(t, r.LeftOut, 5)
			for _, e := range r.Events {
				want := 0
				if e.Name == "watching the store directly" {
					want = 1
				}
				assert.Equal(t, e.Times, want, e.Name)
			}
		})
	}
}

// TestSummaryByOrganisation checks the counts of requests refused on arrival, over a limit or for
// another reason.
func TestSummaryByOrganisation(t *testing.T) {
	const lines = `{"ts":5200,"msg":"request ended","vm":"a","customer":"guild","outcome":"answered","sends":1,"total_s":0.7}
{"ts":5300,"msg":"request refused","vm":"a","customer":"guild","status":429,"reason":"over the organisation's limit; not run"}
{"ts":5400,"msg":"request refused","vm":"a","customer":"guild","status":429,"left_out":7}
{"ts":5500,"msg":"request refused","vm":"a","customer":"desk","status":503}
{"ts":5600,"msg":"request refused","vm":"b","status":401}
`
	var out, stderr bytes.Buffer
	code := cli.Run(t.Context(), []string{"summary", "-json", "-by", "organisation", "-"}, strings.NewReader(lines), &out, &stderr)
	assert.Equal(t, code, cli.ExitOK, "%s", stderr.String())
	type row struct {
		Name      string
		Requests  int
		OverLimit int `json:"over_limit"`
		Early     int `json:"refused_early"`
	}
	var r struct {
		Rows []row
		All  row
	}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
	assert.DeepEqual(t, r.Rows, []row{
		{Name: "guild", Requests: 1, OverLimit: 2}, {Name: "-", Early: 1}, {Name: "desk", Early: 1},
	})
	assert.DeepEqual(t, r.All, row{Name: "all", Requests: 1, OverLimit: 9, Early: 2})
}

// TestSummaryTable checks the headings and rows of the text output.
func TestSummaryTable(t *testing.T) {
	var out, stderr bytes.Buffer
	code := cli.Run(t.Context(), []string{"summary", "-"}, strings.NewReader(summaryLog), &out, &stderr)
	assert.Equal(t, code, cli.ExitOK, "%s", stderr.String())
	for _, want := range []string{"m1 ", "all ", "no holder", "plan to loaded p50 s", "lines that are not a log's"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
	}
}

func BenchmarkSummary(b *testing.B) {
	log := strings.Repeat(summaryLog, 1000)
	b.SetBytes(int64(len(log)))
	for b.Loop() {
		var out bytes.Buffer
		cli.Run(b.Context(), []string{"summary", "-"}, strings.NewReader(log), &out, &out)
	}
}
