package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"rockcleat/internal/platform"
)

// A vmLister reads the platform's list of VMs.
type vmLister interface {
	Changes(ctx context.Context, since uint64) (platform.VMList, error)
}

// members follows the platform's list of VMs.
type members struct {
	self   string
	lister vmLister
	log    *zap.Logger

	mu      sync.Mutex
	version uint64
	vms     map[string]platform.VM
}

func newMembers(self string, l vmLister, log *zap.Logger) *members {
	return &members{self: self, lister: l, log: log, vms: make(map[string]platform.VM)}
}

// step takes over what has changed; a list that cannot be read stays as it was.
func (m *members) step(ctx context.Context) {
	m.mu.Lock()
	since := m.version
	m.mu.Unlock()
	l, err := m.lister.Changes(ctx, since)
	if err != nil {
		m.log.Warn("list of VMs not read", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, l.Version)
	for _, vm := range l.VMs {
		if vm.State == platform.VMGone {
			delete(m.vms, vm.ID)
			continue
		}
		m.vms[vm.ID] = vm
	}
}

func (m *members) known() bool { return m.Version() > 0 }

// Version returns the version of the list as last read.
func (m *members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// all returns every listed VM.
func (m *members) all() []platform.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]platform.VM, 0, len(m.vms))
	for _, vm := range m.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// Entries returns the ids of the live entries and this one.
func (m *members) Entries() []string {
	ids := []string{m.self}
	for _, vm := range m.peers() {
		ids = append(ids, vm.ID)
	}
	return ids
}

// peers returns the other live entries.
func (m *members) peers() []platform.VM {
	return slices.DeleteFunc(m.all(), func(vm platform.VM) bool {
		return vm.Role != platform.RoleEntry || vm.State != platform.VMLive || vm.ID == m.self
	})
}

// Backends returns the backend servers' VMs, leaving ones included.
func (m *members) Backends() []platform.VM {
	return slices.DeleteFunc(m.all(), func(vm platform.VM) bool { return vm.Role != platform.RoleBackend })
}

// isLeaving reports whether the list says that a VM is leaving.
func (m *members) isLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms[id].State == platform.VMLeaving
}
