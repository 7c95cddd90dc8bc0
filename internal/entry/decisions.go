package entry

import (
	"slices"
	"sync"

	"rockcleat/internal/wire"
)

// maxDecisions is the maximum number of decisions kept for operators.
const maxDecisions = 512

// decisions keeps the latest decisions of an entry. Its zero value is empty.
type decisions struct {
	mu  sync.Mutex
	all []wire.Decision
}

// Record adds a decision and drops the oldest above maxDecisions.
func (d *decisions) Record(x wire.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, x)
	if extra := len(d.all) - maxDecisions; extra > 0 {
		d.all = slices.Clone(d.all[extra:])
	}
}

// latest returns the decisions about name, oldest first, or all if name is empty.
func (d *decisions) latest(name string) []wire.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.all), func(x wire.Decision) bool {
		return name != "" && x.Name != name
	})
}
