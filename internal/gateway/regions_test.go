package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/apikey"
	"rockcleat/backend"
	"rockcleat/internal/config"
	"rockcleat/table"
)

// TestRegions checks that a request reaches only servers in the regions that both its route and its organisation allow,
// also when it is sent again, and that it is refused at once if there are none.
func TestRegions(t *testing.T) {
	const north, south = "north", "south"
	tests := map[string]struct {
		route, organisation []string
		// failing is set if the server in the north answers no request.
		failing    bool
		wantStatus int
		wantNorth  bool
		wantSouth  bool
	}{
		"any region":                  {wantStatus: http.StatusOK, wantNorth: true},
		"any region, sent again":      {failing: true, wantStatus: http.StatusOK, wantNorth: true, wantSouth: true},
		"route in the south":          {route: []string{south}, wantStatus: http.StatusOK, wantSouth: true},
		"organisation in the south":   {organisation: []string{south}, wantStatus: http.StatusOK, wantSouth: true},
		"both in the south":           {route: []string{north, south}, organisation: []string{south}, wantStatus: http.StatusOK, wantSouth: true},
		"no region in common":         {route: []string{north}, organisation: []string{south}, wantStatus: http.StatusServiceUnavailable},
		"unknown region":              {route: []string{"west"}, wantStatus: http.StatusServiceUnavailable},
		"not sent again to the south": {route: []string{north}, failing: true, wantStatus: http.StatusBadGateway, wantNorth: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answer := respond(http.StatusOK, "yes")
			if test.failing {
				answer = (*call).reset
			}
			a, b := newFakeServer(t, "a", answer), newFakeServer(t, "b", respond(http.StatusOK, "yes"))
			env := prepareTestEnv(t, func(s *config.Gateway) { s.Regions = map[string]string{"h": north, "y": south} })
			env.putRecord(backend.Server{ID: a.id, Service: "app", Addr: a.addr, Hall: "h", Slots: 4})
			env.putRecord(backend.Server{ID: b.id, Service: "app", Addr: b.addr, Hall: "y", Slots: 4})
			for i := range env.routing.Routes {
				env.routing.Routes[i].Regions = test.route
			}
			env.routing.Organisations = []table.Organisation{{Name: "o", Regions: test.organisation}}
			env.routing.Keys = []apikey.OrganisationKeys{{Organisation: "o", Keys: []string{"key"}}}
			env.putConfig()
			env.awaitReady(http.StatusOK)
			env.awaitServers(2)
			r := env.get(pathSafe, apikey.Header, "Bearer key")
			assert.Equal(t, r.status, test.wantStatus)
			assert.Equal(t, a.count() > 0, test.wantNorth)
			assert.Equal(t, b.count() > 0, test.wantSouth)
		})
	}
}
