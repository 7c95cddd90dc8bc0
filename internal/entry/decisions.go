package entry

import (
	"slices"
	"sync"

	"rockcleat/internal/wire"
)

// maxDecisions bounds the decisions kept for operators.
const maxDecisions = 512

// decisions keeps the latest decisions of an entry; its zero value is empty.
type decisions struct {
	mu  sync.Mutex
	all []wire.Decision
}

// Record keeps a decision and drops the oldest if there are too many.
func (d *decisions) Record(x wire.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, x)
	if extra := len(d.all) - maxDecisions; extra > 0 {
		d.all = slices.Clone(d.all[extra:])
	}
}

// latest returns the decisions about a name, or all for an empty name.
func (d *decisions) latest(name string) []wire.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.all), func(x wire.Decision) bool {
		return name != "" && x.Name != name
	})
}
