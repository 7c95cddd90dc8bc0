package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"rockcleat/internal/inventory"
)

// vmRecord is a VM with when and in which version it changed.
type vmRecord struct {
	vm      inventory.VM
	version uint64
	at      time.Time
}

// VMList stands in for the platform's lagging list of VMList.
type VMList struct {
	faultBox
	echo *echo.Echo
	lag  time.Duration

	mu      sync.Mutex
	version uint64
	log     []vmRecord
}

// NewVMList returns an empty list that shows each change after the lag.
func NewVMList(lag time.Duration) *VMList {
	s := &VMList{echo: newEcho(), lag: lag}
	s.register(s.echo)
	s.echo.GET("/v1/vms", s.list)
	s.echo.POST("/v1/vms", s.change)
	return s
}

// ServeHTTP makes VMList an http.Handler.
func (s *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Set adds a VM to the list or changes it.
func (s *VMList) Set(vm inventory.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.log = append(s.log, vmRecord{vm: vm, version: s.version, at: time.Now()})
}

// change sets VMList.
func (s *VMList) change(c echo.Context) error {
	var l inventory.VMList
	if err := c.Bind(&l); err != nil {
		return err
	}
	for _, vm := range l.VMs {
		s.Set(vm)
	}
	return c.NoContent(http.StatusOK)
}

// list answers with the last visible state of each VM that changed since.
func (s *VMList) list(c echo.Context) error {
	since, _ := strconv.ParseUint(c.QueryParam("since"), 10, 64)
	visible := time.Now().Add(-s.lag)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := inventory.VMList{Version: since}
	last := make(map[string]inventory.VM)
	for _, r := range s.log {
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
