package quarantine

// A watcher holds a callback of Watch. Its address identifies it, since functions are not comparable.
type watcher struct{ f func() }

// Watch calls f when a quarantine of any of the traits begins, once for each, unless stop is called before. f is called
// without a lock held.
func (t *Table) Watch(traits []Trait, f func()) (stop func()) {
	w := &watcher{f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range traits {
		if t.watchers[x.Key] == nil {
			t.watchers[x.Key] = make(map[*watcher]struct{})
		}
		t.watchers[x.Key][w] = struct{}{}
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, x := range traits {
			delete(t.watchers[x.Key], w)
			if len(t.watchers[x.Key]) == 0 {
				delete(t.watchers, x.Key)
			}
		}
	}
}
