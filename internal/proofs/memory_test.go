package proofs

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
	"rockcleat/internal/standin"
)

// TestMemory checks promise 1: accelerator memory is never overcommitted, whether or not the
// engines check the fencing tokens of orders.
func TestMemory(t *testing.T) {
	for name, unchecked := range map[string]bool{"orders checked": false, "orders not checked": true} {
		t.Run(name, func(t *testing.T) {
			tr := startTrial(t, 1, "memory never overcommitted", func(o *lab.Options) {
				o.Engine.SkipFenceCheck = unchecked
				o.Engine.Accelerators = 1
				o.Engine.MemoryMiB = 24000
				o.LoadMiBPerSecond = 40000
				o.Sizes["digest"] = o.Sizes["summary"]
			})
			pickEngine := func() *lab.Backend { return tr.engines()[tr.rng.IntN(len(tr.engines()))] }
			tr.runFaultSteps([]faultStep{
				{"models swapped", tr.swapAndWait},
				{"models swapped and agents killed", func() {
					tr.swap()
					tr.restart(pickEngine().Agent)
					tr.restart(pickEngine().Agent)
					tr.awaitSwapped()
				}},
				{"orders late and agents killed", func() {
					for _, engine := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, engine.URL, standin.Faults{OrderDelayMs: 400}))
					}
					tr.swap()
					tr.restart(pickEngine().Agent)
					tr.swap()
					tr.restart(pickEngine().Agent)
					tr.awaitSwapped()
					for _, engine := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, engine.URL, standin.Faults{}))
					}
				}},
				{"load fails half-way", func() {
					for _, engine := range tr.engines() {
						tr.must(lab.Fault(tr.ctx, engine.URL, standin.Faults{FailLoads: 1}))
					}
					tr.swapAndWait()
				}},
				{"planner killed", func() {
					planner := tr.awaitPlanner()
					tr.swap()
					tr.restart(planner)
					tr.awaitSwapped()
				}},
				{"second agent while the first is frozen", func() { tr.takeOverByAgent(pickEngine()) }},
				{"key-value answers lost", func() {
					tr.must(lab.Fault(tr.ctx, tr.KVURL, standin.Faults{LoseResponses: 3}))
					tr.swapAndWait()
				}},
			})
			loads := 0
			for _, engine := range tr.engines() {
				var s standin.EngineStats
				tr.must(lab.Fetch(tr.ctx, engine.URL+"/stats", &s))
				loads += s.Loads
				for range s.Overcommits {
					tr.recordViolation("%s was ordered to overcommit its memory", engine.Agent.ID)
				}
			}
			assert.Assert(t, loads > tr.swaps, "%d swaps met %d loads", tr.swaps, loads)
			tr.row.worst = fmt.Sprintf("%d loads", loads)
		})
	}
}

// takeOverByAgent suspends an agent, starts a second one for the same server and resumes the first
// once the planner uses the second.
func (tr *trial) takeOverByAgent(b *lab.Backend) {
	first := b.Agent
	first.Freeze()
	second, err := tr.SecondAgent(tr.ctx, b)
	tr.must(err)
	tr.must(tr.SetVM(tr.ctx, second, inventory.RoleBackend, inventory.VMLive))
	tr.waitUntil("the second agent is known", func() bool {
		st, err := tr.Status(tr.ctx, tr.awaitPlanner(), false)
		return err == nil && listsServer(st, second.ID, second.Addr)
	})
	first.Thaw()
	tr.swapAndWait()
	second.Kill()
	tr.restart(first)
	tr.must(tr.SetVM(tr.ctx, first, inventory.RoleBackend, inventory.VMLive))
	tr.waitUntil("the first agent is known again", func() bool {
		st, err := tr.Status(tr.ctx, tr.awaitPlanner(), false)
		return err == nil && listsServer(st, first.ID, first.Addr)
	})
}
