package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestOwnersOfCountedServersFollowCapacity guards against owners on VMs whose processor is too small for the requests of
// all gateways.
func TestOwnersOfCountedServersFollowCapacity(t *testing.T) {
	var list []Gateway
	for i := range 11 {
		g := Gateway{ID: fmt.Sprint("front-poa-a-", i+1), Hall: "a", Cores: 0.144}
		if i < 2 {
			g.Cores = 0.8
		}
		list = append(list, g)
	}
	const servers = 2000
	large := 0
	for i := range servers {
		owner := findOwner(list, &backend.Server{ID: fmt.Sprintf("i-%08x", i*7919), Hall: "a"}, true)
		if owner == list[0].ID || owner == list[1].ID {
			large++
		}
	}
	// Their part of the squares of all cores is 0.87.
	assert.Assert(t, large > servers*82/100 && large < servers*92/100, "%d of %d", large, servers)
}
