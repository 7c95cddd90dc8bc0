package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestOwnersOfCountedServersAreLarge guards against owners on VMs whose processor is too small for the requests of
// all gateways.
func TestOwnersOfCountedServersAreLarge(t *testing.T) {
	var list []Gateway
	for i := range 11 {
		g := Gateway{ID: fmt.Sprint("front-poa-a-", i+1), Hall: "a", Cores: 0.144}
		if i < 2 {
			g.Cores = 0.8
		}
		list = append(list, g)
	}
	owners := make(map[string]int)
	for i := range 1000 {
		owners[findOwner(list, &backend.Server{ID: fmt.Sprint("i-", i), Hall: "a"}, true)]++
	}
	assert.Equal(t, len(owners), 2)
	assert.Assert(t, owners[list[0].ID] > 400 && owners[list[1].ID] > 400, "%v", owners)
	rest := list[2:]
	assert.Assert(t, findOwner(rest, &backend.Server{ID: "i-1", Hall: "a"}, true) != "", "the larger VMs are gone")
	elsewhere := append([]Gateway{{ID: "g", Hall: "b", Cores: 0.8}}, rest...)
	assert.Assert(t, findOwner(elsewhere, &backend.Server{ID: "i-1", Hall: "a"}, true) != "g", "a gateway in the data hall comes first")
}
