package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/apikey"
	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/internal/config"
	"rockcleat/table"
)

// Organisations of the tests and their keys.
const (
	guild, guildKey = "guild", "k7b2ex5wa5xwyhks8nbk"
	desk, deskKey   = "desk", "asnmgkcuyj8pjbvk9m68"
	unknownKey      = "n0b0dyh0ldsth1skey00"
)

// pathOpen is the prefix of a route that needs no key.
const pathOpen = "/open/"

// useKeys adds organisations and keys to the configuration.
func useKeys(env *testEnv) {
	urgent := 0
	open := env.routing.Routes[1]
	open.Name, open.Prefix, open.Public = pathOpen, pathOpen, true
	env.routing.Routes = append(env.routing.Routes, open)
	env.routing.Organisations = []table.Organisation{{Name: guild, Priority: &urgent}, {Name: desk}}
	env.routing.Keys = []apikey.OrganisationKeys{
		{Organisation: guild, Keys: []string{guildKey}}, {Organisation: desk, Keys: []string{deskKey}},
	}
}

// newKeyEnv starts a gateway with a configuration that requires keys.
func newKeyEnv(t *testing.T, change func(*config.Gateway), servers ...*fakeServer) *testEnv {
	env := prepareTestEnv(t, change, servers...)
	useKeys(env)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	return env
}

func bearer(key string) string { return "Bearer " + key }

// TestKeys checks which requests are authorised, and that servers receive the organisation instead of the key.
func TestKeys(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	env := newKeyEnv(t, func(*config.Gateway) {}, server)
	tests := map[string]struct {
		path    string
		headers []string
		status  int
		// organisation is the one that the server must receive.
		organisation string
	}{
		"a key":                        {headers: []string{apikey.Header, bearer(guildKey)}, status: 200, organisation: guild},
		"another organisation's":       {headers: []string{apikey.Header, bearer(deskKey)}, status: 200, organisation: desk},
		"scheme in lower case":         {headers: []string{apikey.Header, "bearer " + deskKey}, status: 200, organisation: desk},
		"a made-up organisation":       {headers: []string{apikey.Header, bearer(deskKey), names.Organisation, guild}, status: 200, organisation: desk},
		"an unknown key":               {headers: []string{apikey.Header, bearer(unknownKey)}, status: 401},
		"an unknown key, organisation": {headers: []string{apikey.Header, bearer(unknownKey), names.Organisation, guild}, status: 401},
		"no key":                       {status: 401},
		"another scheme":               {headers: []string{apikey.Header, "Basic " + guildKey}, status: 401},
		"the key alone":                {headers: []string{apikey.Header, guildKey}, status: 401},
		"a key in capitals":            {headers: []string{apikey.Header, bearer(strings.ToUpper(guildKey))}, status: 401},
		"open route":                   {path: pathOpen, status: 200},
		"open route, a key":            {path: pathOpen, headers: []string{apikey.Header, bearer(unknownKey)}, status: 200},
		"open route, organisation":     {path: pathOpen, headers: []string{names.Organisation, guild}, status: 200},
		"no such route":                {path: "/none/", headers: []string{apikey.Header, bearer(unknownKey)}, status: 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := test.path
			if path == "" {
				path = pathSafe
			}
			before := server.count()
			r := env.get(path, test.headers...)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, server.count(), before, "no server is asked")
				assert.Equal(t, r.header.Get("WWW-Authenticate") != "", test.status == http.StatusUnauthorized)
				return
			}
			got := server.call(before).Header
			assert.Equal(t, got.Get(names.Organisation), test.organisation)
			assert.Equal(t, len(got.Values(apikey.Header)), 0, "servers are not shown keys")
		})
	}
	checkNoKeyLogged(t, env)
}

// TestTwoKeys checks that a request with two Authorization headers is rejected as ambiguous.
func TestTwoKeys(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	env := newKeyEnv(t, func(*config.Gateway) {}, server)
	req := env.request(http.MethodGet, pathSafe, "", apikey.Header, bearer(guildKey))
	req.Header.Add(apikey.Header, bearer(deskKey))
	assert.Equal(t, env.do(req).status, http.StatusUnauthorized)
	assert.Equal(t, server.count(), 0)
}

// TestWithoutOrganisationsKeysPass checks that the callers' headers are forwarded unchanged if the configuration has no
// organisations.
func TestWithoutOrganisationsKeysPass(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	env := newTestEnv(t, server)
	r := env.get(pathSafe, apikey.Header, bearer(unknownKey), names.Organisation, "any")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, server.call(0).Header.Get(apikey.Header), bearer(unknownKey))
	assert.Equal(t, server.call(0).Header.Get(names.Organisation), "any")
}

// checkNoKeyLogged checks that no log line contains a key.
func checkNoKeyLogged(t *testing.T, env *testEnv) {
	t.Helper()
	for _, line := range env.logs.All() {
		text := line.Message + fmt.Sprint(line.ContextMap())
		for _, key := range []string{guildKey, deskKey, unknownKey} {
			assert.Assert(t, !strings.Contains(strings.ToLower(text), key), "%s", text)
		}
	}
}

// TestOrganisationPriority checks that an organisation's priority overrides the route's.
func TestOrganisationPriority(t *testing.T) {
	server := newFakeServer(t, "e", stream(1))
	env := newKeyEnv(t, func(*config.Gateway) {})
	env.putEngine(server, "m1")
	assert.Equal(t, env.get(pathModel, names.Model, "m1", apikey.Header, bearer(guildKey)).status, http.StatusOK)
	assert.Equal(t, env.get(pathModel, names.Model, "m1", apikey.Header, bearer(deskKey)).status, http.StatusOK)
	assert.Equal(t, server.call(0).Header.Get(names.Priority), "0", "the organisation's")
	assert.Equal(t, server.call(1).Header.Get(names.Priority), "1", "the route's")
}

// TestMovedKey checks that a key can be moved from one organisation to another, and that a removed key is rejected.
func TestMovedKey(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	env := newKeyEnv(t, func(*config.Gateway) {}, server)
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusOK)
	env.routing.Version++
	env.routing.Keys = []apikey.OrganisationKeys{{Organisation: desk, Keys: []string{guildKey}}}
	env.putConfig()
	env.awaitStatus(http.StatusUnauthorized, deskKey)
	before := server.count()
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusOK)
	assert.Equal(t, server.call(before).Header.Get(names.Organisation), desk)
}

// TestLastOrganisationRemoved guards against a gateway that is open to everybody once the last organisation or the last key
// has been removed from the configuration.
func TestLastOrganisationRemoved(t *testing.T) {
	tests := map[string]func(f *routingFile){
		"no organisation": func(f *routingFile) { f.Organisations, f.Keys = []table.Organisation{}, nil },
		"no key":          func(f *routingFile) { f.Keys = nil },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
			env := newKeyEnv(t, func(*config.Gateway) {}, server)
			assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusOK)
			env.routing.Version++
			change(&env.routing)
			env.putConfig()
			env.awaitStatus(http.StatusUnauthorized, guildKey)
			before := server.count()
			for _, key := range []string{guildKey, deskKey, unknownKey} {
				assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(key)).status, http.StatusUnauthorized)
			}
			assert.Equal(t, env.get(pathSafe).status, http.StatusUnauthorized)
			assert.Equal(t, server.count(), before, "no server is asked")
			assert.Equal(t, env.get(pathOpen, apikey.Header, bearer(guildKey)).status, http.StatusOK)
			assert.Equal(t, len(server.call(before).Header.Values(apikey.Header)), 0, "servers are not shown keys")
		})
	}
}

// awaitStatus waits until a request with key gets a response with status.
func (env *testEnv) awaitStatus(status int, key string) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		if r := env.get(pathSafe, apikey.Header, bearer(key)); r.status != status {
			return poll.Continue("status %d, %v", r.status, r.err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestRevokedDuringStoreOutage checks that a gateway without access to the store rejects requests with a key before
// the maximum revocation delay has passed, but serves those that need none. When the store is reachable again, revoked
// keys are unknown and the others are accepted.
func TestRevokedDuringStoreOutage(t *testing.T) {
	const revokeTime = 2 * time.Second
	outages := map[string]func(env *testEnv) (reconnect func()){
		"down": func(env *testEnv) func() {
			env.store.Fail(func(string) error { return errors.New("down") })
			return func() { env.store.Fail(nil) }
		},
		"reads fail": func(env *testEnv) func() {
			env.store.Fail(func(call string) error {
				if call == "list" || call == "watch" {
					return errors.New("busy")
				}
				return nil
			})
			return func() { env.store.Fail(nil) }
		},
	}
	for name, disconnect := range outages {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
			env := newKeyEnv(t, func(s *config.Gateway) {
				s.MaxRevocationDelay = config.Duration(revokeTime)
				s.StoreTimeout = config.Duration(200 * time.Millisecond)
			}, server)
			env.awaitStatus(http.StatusOK, guildKey)
			reconnect := disconnect(env)
			env.routing.Version++
			env.routing.Keys = env.routing.Keys[1:]
			env.putConfig()
			written := time.Now()
			env.awaitStatus(http.StatusServiceUnavailable, guildKey)
			assert.Assert(t, time.Since(written) < revokeTime, "refused after %v", time.Since(written))
			r := env.get(pathSafe, apikey.Header, bearer(deskKey))
			assert.Equal(t, r.status, http.StatusServiceUnavailable)
			assert.Assert(t, r.header.Get("Retry-After") != "")
			assert.Equal(t, env.get(pathOpen).status, http.StatusOK, "no key is needed")
			reconnect()
			env.awaitStatus(http.StatusUnauthorized, guildKey)
			env.awaitStatus(http.StatusOK, deskKey)
			checkNoKeyLogged(t, env)
		})
	}
}

// TestRevokedDuringSuspension checks that keys that may have been revoked during a suspension of the machine are
// rejected once the suspension is detected.
func TestRevokedDuringSuspension(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	machine := clocktest.NewSource()
	env := prepareTestEnvWithClock(t, clock.NewSystemFrom(machine), func(s *config.Gateway) { s.MaxRevocationDelay = config.Duration(5 * time.Second) }, server)
	useKeys(env)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitStatus(http.StatusOK, guildKey)
	env.store.Fail(func(string) error { return errors.New("down") })
	machine.Suspend(5 * time.Second)
	env.awaitLines("process paused", 1)
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusServiceUnavailable)
	env.store.Fail(nil)
	env.awaitStatus(http.StatusOK, guildKey)
}

// TestUnboundedRevocation checks that keys stay valid during a store outage if no maximum revocation delay is
// configured.
func TestUnboundedRevocation(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	machine := clocktest.NewSource()
	env := prepareTestEnvWithClock(t, clock.NewSystemFrom(machine), func(*config.Gateway) {}, server)
	useKeys(env)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitStatus(http.StatusOK, guildKey)
	env.store.Fail(func(string) error { return errors.New("down") })
	machine.Suspend(time.Minute)
	env.awaitLines("process paused", 1)
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusOK)
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(unknownKey)).status, http.StatusServiceUnavailable, "it may be new")
}
