package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"rockcleat/internal/inventory"
)

// A vmLister reads the platform's list of VMs.
type vmLister interface {
	Changes(ctx context.Context, since uint64) (inventory.VMList, error)
}

// members caches the platform's list of VMs. It is safe for concurrent use.
type members struct {
	// self is the id of this entry.
	self   string
	lister vmLister
	log    *zap.Logger

	mu      sync.Mutex
	version uint64
	vms     map[string]inventory.VM
}

// newMembers returns members without VMs.
func newMembers(self string, l vmLister, log *zap.Logger) *members {
	return &members{self: self, lister: l, log: log, vms: make(map[string]inventory.VM)}
}

// step reads the changes since the last read. If that fails the list stays as it was.
func (m *members) step(ctx context.Context) {
	m.mu.Lock()
	since := m.version
	m.mu.Unlock()
	l, err := m.lister.Changes(ctx, since)
	if err != nil {
		m.log.Warn("reading the list of VMs failed", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, l.Version)
	for _, vm := range l.VMs {
		if vm.State == inventory.VMGone {
			delete(m.vms, vm.ID)
			continue
		}
		m.vms[vm.ID] = vm
	}
}

// isLoaded reports whether the list has been read.
func (m *members) isLoaded() bool { return m.Version() > 0 }

// Version returns the version of the list as last read.
func (m *members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// all returns all listed VMs, ordered by id.
func (m *members) all() []inventory.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]inventory.VM, 0, len(m.vms))
	for _, vm := range m.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b inventory.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// Entries returns the ids of the live entries, including this one.
func (m *members) Entries() []string {
	ids := []string{m.self}
	for _, vm := range m.peers() {
		ids = append(ids, vm.ID)
	}
	return ids
}

// peers returns the VMs of the other live entries.
func (m *members) peers() []inventory.VM {
	return slices.DeleteFunc(m.all(), func(vm inventory.VM) bool {
		return vm.Role != inventory.RoleEntry || vm.State != inventory.VMLive || vm.ID == m.self
	})
}

// Backends returns the VMs of backend servers, including leaving ones.
func (m *members) Backends() []inventory.VM {
	return slices.DeleteFunc(m.all(), func(vm inventory.VM) bool { return vm.Role != inventory.RoleBackend })
}

// isLeaving reports whether a VM is listed as leaving.
func (m *members) isLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms[id].State == inventory.VMLeaving
}
