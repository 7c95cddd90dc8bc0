package config_test

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
)

// TestExamples checks that the settings files in examples are valid.
func TestExamples(t *testing.T) {
	tests := map[string]config.Settings{"entry.yaml": &config.Entry{}, "agent.yaml": &config.Agent{}, "agent-service.yaml": &config.Agent{}, "gateway.yaml": &config.Gateway{}}
	for name, into := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, config.Read(filepath.Join("..", "..", "examples", name), into))
		})
	}
}

// TestTemplate checks the gateway's deployment template, filled in with and without the optional bounds.
func TestTemplate(t *testing.T) {
	tests := map[string]struct {
		given      bool
		revokeTime time.Duration
		quota      config.Quota
		warmup     config.Warmup
	}{
		"all bounds": {given: true, revokeTime: 5 * time.Second, quota: config.Quota{
			Window: config.Duration(8 * time.Second), OverRatio: 0.1, Slack: 10000,
		}, warmup: config.Warmup{Over: 1.5, Slack: 5}},
		"no keys and limits": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "gateway.yaml"))
			assert.NilError(t, err)
			text := fillSection(t, string(data), "Bounds.StrictRevoke", test.given)
			text = fillSection(t, text, "Bounds.QuotaWindowS", test.given)
			text = fillSection(t, text, "Bounds.ColdOver", test.given)
			var g config.Gateway
			assert.NilError(t, config.Parse("gateway.yaml", []byte(fill(t, text, test.given)), &g))
			assert.Equal(t, g.Retry.Fixed, 58.0)
			assert.DeepEqual(t, g.Seeds, []string{"10.0.0.1:82", "10.0.0.3:82"})
			assert.Assert(t, g.FirstStart)
			assert.Equal(t, g.Cores, 0.144)
			assert.Equal(t, g.LinkMbps, 20.0)
			assert.Equal(t, g.MemoryMB, 184.0)
			assert.DeepEqual(t, g.Regions, map[string]string{"z": "north", "y": "south"})
			assert.Equal(t, g.MaxRevocationDelay.Std(), test.revokeTime)
			assert.Equal(t, g.Quota, test.quota)
			assert.Equal(t, g.Warmup, test.warmup)
			assert.Equal(t, g.Processor.MaxDelay.Std(), 250*time.Millisecond)
		})
	}
}

// fillSection keeps or removes the template's section for an optional value.
func fillSection(t *testing.T, text, name string, given bool) string {
	t.Helper()
	before, rest, ok := strings.Cut(text, "{{#"+name+"}}")
	assert.Assert(t, ok, "%s is not used", name)
	section, after, ok := strings.Cut(rest, "{{/"+name+"}}")
	assert.Assert(t, ok, "%s does not end", name)
	if !given {
		section = ""
	}
	return before + section + after
}

// fill replaces the template's placeholders. limits adds the values for keys and quotas.
func fill(t *testing.T, text string, limits bool) string {
	t.Helper()
	values := map[string]string{
		"Node": "front-1", "Zone": "z", "Limits.CpuShare": "0.144", "Limits.LinkMbps": "20.0", "Limits.MemoryMb": "184", "Zones|json": `{"z":"north","y":"south"}`, "Ip": "10.0.0.1", "Listen.Front": "10.0.0.1:80", "Listen.Ready": "10.0.0.1:81",
		"Listen.Control": "10.0.0.1:82", "Provider.Addr": "10.0.0.2:80", "Bootstrap|json": "true", "Bounds.GraceS": "8",
		"Bounds.LeaseMs": "3000", "Bounds.DrainMs": "2000", "Bounds.RetryWindowS": "10", "Bounds.RetryRatio": "0.2", "Bounds.RetrySlack": "58",
	}
	if limits {
		maps.Copy(values, map[string]string{
			"Bounds.RevokeMs": "5000", "Bounds.QuotaWindowS": "8", "Bounds.QuotaOver": "0.1", "Bounds.QuotaSlack": "10000",
			"Bounds.ColdOver": "1.5", "Bounds.ColdSlack": "5",
		})
	}
	for name, value := range values {
		assert.Assert(t, strings.Contains(text, "{{"+name+"}}"), "%s is not used", name)
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	const seeds = `{{#Seeds}}"{{.}}"{{,}}{{/Seeds}}`
	assert.Assert(t, strings.Contains(text, seeds))
	text = strings.Replace(text, seeds, `"10.0.0.1:82","10.0.0.3:82"`, 1)
	assert.Assert(t, !strings.Contains(text, "{{"))
	return text
}

// TestGatewayErrors checks that each error names the file and the key.
func TestGatewayErrors(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "gateway.yaml"))
	assert.NilError(t, err)
	tests := map[string]struct{ old, new, want string }{
		"unknown key":    {"grace: 8s", "grass: 8s", "grass: unknown key"},
		"no unit":        {"grace: 8s", "grace: 8", "is not a duration with a unit"},
		"not an address": {"store: 127.0.0.1:7000", "store: here", "store: must be IP:PORT"},
		"negative ratio": {"ratio: 0.1", "ratio: -1", "retry.ratio: must not be negative"},
		"negative time":  {"revoke_time: 5s", "revoke_time: -5s", "revoke_time: must not be negative"},
		"negative slack": {"slack: 10000", "slack: -1", "quota.slack: must not be negative"},
		"negative delay": {"max_delay: 0s", "max_delay: -1s", "processor.max_delay: must be 0s or at least 100ms"},
		"short delay":    {"max_delay: 0s", "max_delay: 99ms", "processor.max_delay: must be 0s or at least 100ms"},
		"no gateways":    {"gateways: 6", "gateways: 0", "gateways: must be at least 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(string(data), test.old))
			text := strings.Replace(string(data), test.old, test.new, 1)
			err := config.Parse("f.yaml", []byte(text), &config.Gateway{})
			assert.ErrorIs(t, err, config.ErrInvalid)
			assert.ErrorContains(t, err, test.want)
			assert.ErrorContains(t, err, "f.yaml:")
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

// FuzzParse checks that Parse never panics, and that Read returns the settings that Write wrote.
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

// TestFileTooLong checks that a settings file that is too long is rejected and not cut.
func TestFileTooLong(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "gateway.yaml"))
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "gateway.yaml")
	const tooLong = 2 << 20
	assert.NilError(t, os.WriteFile(file, append(data, strings.Repeat("\n", tooLong)...), 0o600))
	assert.ErrorContains(t, config.Read(file, &config.Gateway{}), "exceeds")
}
