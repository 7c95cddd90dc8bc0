package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
)

// TestExamples checks that the commented examples are valid.
func TestExamples(t *testing.T) {
	tests := map[string]config.Settings{"entry.yaml": &config.Entry{}, "agent.yaml": &config.Agent{}, "agent-service.yaml": &config.Agent{}}
	for name, into := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, config.Read(filepath.Join("..", "..", "examples", name), into))
		})
	}
}

func TestErrors(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "entry.yaml"))
	assert.NilError(t, err)
	good := string(data)
	tests := map[string]struct{ old, new, want string }{
		"unknown key":       {"sync_every: 1s", "sink_every: 1s", "sink_every: unknown key"},
		"no unit":           {"sync_every: 1s", "sync_every: 1", "is not a duration with a unit"},
		"out of range":      {"cell_size: 24", "cell_size: 0", "planner.cell_size: must be from 1 to 48"},
		"wrong type":        {"cell_size: 24", "cell_size: many", "cannot unmarshal"},
		"not an IP number":  {"listen: 10.0.0.5:8080", "listen: entry.local:8080", "listen: must be IP:port"},
		"short secret":      {"secret: change-me-to-a-long-one", "secret: short", "secret: must have at least 16"},
		"missing id":        {"id: entry-1", "", "id: is required"},
		"unknown level":     {"level: info", "level: loud", "log.level: must be"},
		"same two adresses": {"control_listen: 10.0.0.5:8081", "control_listen: 10.0.0.5:8080", "control_listen: must differ"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(good, tc.old))
			text := strings.Replace(good, tc.old, tc.new, 1)
			err := config.Parse("f.yaml", []byte(text), &config.Entry{})
			assert.ErrorIs(t, err, config.ErrInvalid)
			assert.ErrorContains(t, err, tc.want)
			var e *config.Error
			assert.Assert(t, errors.As(err, &e))
			assert.Equal(t, e.Problems[0].File, "f.yaml")
			if tc.new != "" {
				line := strings.Count(text[:strings.Index(text, tc.new)], "\n") + 1
				assert.Equal(t, e.Problems[0].Line, line)
			}
		})
	}
}

// FuzzParse checks that no settings file stops the process, and that what is
// written is read as the same.
func FuzzParse(f *testing.F) {
	f.Add("id: a\nhall: b\n")
	f.Add("planner: {cell_size: 3}\n")
	f.Add("log: [\n")
	f.Fuzz(func(t *testing.T, text string) {
		var e config.Entry
		if config.Parse("f", []byte(text), &e) != nil {
			return
		}
		file := filepath.Join(t.TempDir(), "f")
		assert.NilError(t, config.Write(file, &e))
		var again config.Entry
		assert.NilError(t, config.Read(file, &again))
		assert.DeepEqual(t, e, again)
	})
}
