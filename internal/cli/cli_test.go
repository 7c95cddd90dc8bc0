package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/cli"
	"rockcleat/internal/standin/standintest"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

const secret = "test-secret-0123456789"

// startEntry starts a server that implements an entry's table API for operators.
func startEntry(t *testing.T) (addr string) {
	t.Helper()
	_, store := standintest.KV(t)
	l := table.NewLog(store, clocktest.Real{}, nil)
	m := http.NewServeMux()
	m.HandleFunc("GET "+wire.PathTable, func(w http.ResponseWriter, r *http.Request) {
		tab, _, err := l.Load(r.Context(), &table.Table{})
		assert.Check(t, err)
		_ = json.NewEncoder(w).Encode(wire.TableResponse{Version: tab.Version(), Rows: tab.Rows()})
	})
	m.HandleFunc("POST "+wire.PathTable, func(w http.ResponseWriter, r *http.Request) {
		var s wire.SaveRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&s))
		tab, err := l.Save(r.Context(), s.Edit)
		if err != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
			_ = json.NewEncoder(w).Encode(wire.SaveResponse{Errors: []table.CheckError{{Row: "x", Column: "weight"}}})
			return
		}
		_ = json.NewEncoder(w).Encode(wire.SaveResponse{Version: tab.Version()})
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !wire.Authorized(r, secret) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		m.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func runCommand(t *testing.T, args ...string) (code int, out, stderr string) {
	t.Helper()
	var o, e bytes.Buffer
	code = cli.Run(context.Background(), args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	addr := startEntry(t)
	file := filepath.Join(t.TempDir(), "t.csv")
	bad := filepath.Join(t.TempDir(), "bad.csv")
	assert.NilError(t, os.WriteFile(file, []byte("name,weight\nm,3\n"), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte("name,weight\nm,heavy\n"), 0o600))
	common := []string{"-entry", addr, "-secret", secret}
	withFlags := func(args ...string) []string {
		n := 2
		if args[0] == "status" || args[0] == "why" {
			n = 1
		}
		return append(append(append([]string{}, args[:n]...), common...), args[n:]...)
	}
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"help", []string{"-h"}, cli.ExitUsage, "COMMAND"},
		{"help has an example", []string{"table", "set", "-h"}, cli.ExitUsage, "Example:"},
		{"no such command", []string{"tabel"}, cli.ExitUsage, "no command"},
		{"import", withFlags("table", "import", file), cli.ExitOK, "saved 1 rows; version 1"},
		{"import again", withFlags("table", "import", file), cli.ExitOK, "nothing to change"},
		{"show", withFlags("table", "show"), cli.ExitOK, "version 1, 1 rows"},
		{"set", withFlags("table", "set", "m", "weight=4"), cli.ExitOK, "version 2"},
		{"export", withFlags("table", "export"), cli.ExitOK, "m,model,,,standard,4,100,0,10s,"},
		{"diff", withFlags("table", "diff", file), cli.ExitOK, "+ m,model,,,standard,3"},
		{"set unknown column", withFlags("table", "set", "m", "colour=red"), cli.ExitInvalid, "one of the columns"},
		{"set word as weight", withFlags("table", "set", "m", "weight=heavy"), cli.ExitInvalid, `row "m", column weight: "heavy"`},
		{"import bad file", withFlags("table", "import", bad), cli.ExitInvalid, `row "m", column weight`},
		{"refused by the checks", withFlags("table", "set", "m", "weight=0"), cli.ExitInvalid, "column weight"},
		{"remove", withFlags("table", "remove", "m"), cli.ExitOK, "version 3"},
		{"wrong secret", []string{"table", "set", "-entry", addr, "-secret", "no", "m", "weight=1"}, cli.ExitFailed, ""},
		{"no entry", []string{"table", "show", "-entry", "127.0.0.1:1", "-secret", secret}, cli.ExitFailed, "refused"},
		{"settings checked", []string{"config", "check", filepath.Join("..", "..", "examples", "entry.yaml")}, cli.ExitOK, "ok"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			code, out, stderr := runCommand(t, tc.args...)
			assert.Equal(t, code, tc.code, "%s%s", out, stderr)
			assert.Assert(t, strings.Contains(out+stderr, tc.text), "%s%s", out, stderr)
		})
	}
}
