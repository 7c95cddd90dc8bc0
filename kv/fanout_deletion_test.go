package kv_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
)

// childrenPerFanout is the number of processes that get the changes of one other.
const childrenPerFanout = 8

// A fanoutTree is a tree of processes that forward the changes of a prefix, the watcher first.
type fanoutTree struct {
	store   *fixedListStore
	fanouts []*kv.Fanout
	mirrors []*mirror
}

// newFanoutTree returns a tree of n processes whose followers run until ctx ends. Processes that are
// not the watcher cannot reach the service.
func newFanoutTree(ctx context.Context, n int) *fanoutTree {
	tree := &fanoutTree{store: &fixedListStore{}}
	for i := range n {
		f := kv.NewFanout(kv.FanoutOptions{
			Clock: clocktest.Real{}, MaxAge: time.Hour, IsWatcher: func() bool { return i == 0 },
			ListWait: func() time.Duration { return time.Hour },
		})
		tree.fanouts = append(tree.fanouts, f)
		tree.mirrors = append(tree.mirrors, &mirror{})
		if i == 0 {
			continue
		}
		go kv.Follow(ctx, kv.FollowOptions{
			Store: f.View(&fixedListStore{}, false), Prefix: "a/", WatchTimeout: time.Hour, Clock: clocktest.Real{},
			Follower: tree.mirrors[i],
		})
	}
	return tree
}

// list makes the watcher list the service.
func (tree *fanoutTree) list(ctx context.Context, at kv.Revision, keys ...string) error {
	tree.store.at, tree.store.entries = at, nil
	for _, key := range keys {
		tree.store.entries = append(tree.store.entries, kv.Entry{Key: key, Revision: 1})
	}
	_, _, err := tree.fanouts[0].View(tree.store, false).ListPrefix(ctx, "a/")
	return err
}

// forward lets each process poll its parent once, those near the watcher first. It returns the
// number of whole lists that were sent.
func (tree *fanoutTree) forward() int {
	lists := 0
	for i, f := range tree.fanouts[1:] {
		batches := tree.fanouts[i/childrenPerFanout].Since(f.Progress())
		if batches["a/"].Full {
			lists++
		}
		f.Apply(batches, time.Now())
	}
	return lists
}

// count returns the number of followers that know a key.
func (tree *fanoutTree) count(key string) int {
	n := 0
	for _, m := range tree.mirrors[1:] {
		if m.has(key) {
			n++
		}
	}
	return n
}

// TestFanoutForwardsSilentDeletion checks that an entry that disappears without a later revision
// disappears in all processes, whatever their number, and costs each of them one whole list.
func TestFanoutForwardsSilentDeletion(t *testing.T) {
	for _, n := range []int{4, 24, 103, 356} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			tree := newFanoutTree(ctx, n)
			assert.NilError(t, tree.list(ctx, 5, "a/1", "a/2"))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				tree.forward()
				if known := tree.count("a/2"); known < n-1 {
					return poll.Continue("%d of %d processes know the entry", known, n-1)
				}
				return poll.Success()
			})
			assert.NilError(t, tree.list(ctx, 5, "a/1"))
			leaf := tree.fanouts[n-1].Progress()
			parent := tree.fanouts[0]
			assert.Assert(t, parent.HasUpdates(leaf, time.Hour, parent.CurrentTimes(leaf)), "the deletion waits for another change")
			lists := tree.forward()
			assert.Equal(t, lists, n-1)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if known := tree.count("a/2"); known > 0 {
					return poll.Continue("%d of %d processes still know the deleted entry", known, n-1)
				}
				return poll.Success()
			}, poll.WithTimeout(2*time.Second))
			assert.Equal(t, tree.count("a/1"), n-1)
			assert.Equal(t, tree.forward(), 0)
		})
	}
}
