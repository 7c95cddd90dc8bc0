package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"rockcleat/internal/inventory"
)

// vmChange is the state of a VM as of a version of the list.
type vmChange struct {
	vm      inventory.VM
	version uint64
	at      time.Time
}

// VMList is a fake of the platform's list of VMs, which shows changes after a lag.
type VMList struct {
	faultInjector
	echo *echo.Echo
	lag  time.Duration

	mu      sync.Mutex
	version uint64
	changes []vmChange
}

// NewVMList returns an empty list that shows each change after lag.
func NewVMList(lag time.Duration) *VMList {
	s := &VMList{echo: newEcho(), lag: lag}
	s.register(s.echo)
	s.echo.GET("/v1/vms", s.handleList)
	s.echo.POST("/v1/vms", s.handleChange)
	return s
}

// ServeHTTP implements http.Handler.
func (s *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Set adds a VM to the list or replaces the one with its ID.
func (s *VMList) Set(vm inventory.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = append(s.changes, vmChange{vm: vm, version: s.version, at: time.Now()})
}

func (s *VMList) handleChange(c echo.Context) error {
	var l inventory.VMList
	if err := c.Bind(&l); err != nil {
		return err
	}
	for _, vm := range l.VMs {
		s.Set(vm)
	}
	return c.NoContent(http.StatusOK)
}

// handleList responds with the latest visible state of each VM that changed after the version
// since.
func (s *VMList) handleList(c echo.Context) error {
	since, _ := strconv.ParseUint(c.QueryParam("since"), 10, 64)
	visible := time.Now().Add(-s.lag)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := inventory.VMList{Version: since}
	last := make(map[string]inventory.VM)
	for _, r := range s.changes {
		if r.version <= since || r.at.After(visible) {
			continue
		}
		last[r.vm.ID] = r.vm
		l.Version = r.version
	}
	for _, vm := range last {
		l.VMs = append(l.VMs, vm)
	}
	return c.JSON(http.StatusOK, l)
}
