package lab

import (
	"net"
	"os"
	"os/exec"
	"sync"
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

// TestFreeAddrIsFreeWhileProcessesStart guards against a returned address that is still in use: a process that starts
// while its port is probed holds a copy of the listener until it has replaced its program.
func TestFreeAddrIsFreeWhileProcessesStart(t *testing.T) {
	const addrs, starters = 20000, 4
	done := make(chan struct{})
	var running sync.WaitGroup
	for range starters {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					// The program lists no test and exits at once.
					assert.Check(t, exec.Command(os.Args[0], "-test.list=^$").Run())
				}
			}
		})
	}
	defer running.Wait()
	defer close(done)
	a := newAddrAllocator(os.Getpid())
	for range addrs {
		addr, err := a.freeAddr()
		assert.NilError(t, err)
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
	}
}
