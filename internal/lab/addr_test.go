package lab

import (
	"testing"

	"gotest.tools/v3/assert"
)

// addrsPerProcess is the number of addresses that a test process takes at most.
const addrsPerProcess = 100

// TestFreeAddrInProcesses checks that two processes get no address in common. A process that restarts otherwise
// finds its port in use by another process, and its callers reach that process.
func TestFreeAddrInProcesses(t *testing.T) {
	const pid = 4000
	tests := map[string]struct{ otherPID int }{
		"next process ID":         {pid + 1},
		"process ID 20 higher":    {pid + 20},
		"process ID 256 higher":   {pid + 256},
		"process ID 65536 higher": {pid + 65536},
		"largest process ID":      {1<<22 - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newAddrAllocator(pid), newAddrAllocator(test.otherPID)
			taken := make(map[string]bool)
			for range addrsPerProcess {
				addr, err := a.freeAddr()
				assert.NilError(t, err)
				taken[addr] = true
			}
			for range addrsPerProcess {
				addr, err := b.freeAddr()
				assert.NilError(t, err)
				assert.Check(t, !taken[addr], addr)
			}
		})
	}
}
