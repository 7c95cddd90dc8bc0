package lab

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// The ports lie below the range from which the system assigns ports to outgoing connections,
// so that no connection takes a port before the process that it is meant for listens.
const (
	firstPort = 10000
	portCount = 20000
)

// An addrAllocator returns loopback addresses. The allocators of running processes use different hosts:
// a port stays free while the process that it is meant for has not started yet or is restarted.
type addrAllocator struct {
	host string
	// next is the offset from firstPort at which the search for a free port continues.
	next atomic.Int64
}

func newAddrAllocator(pid int) *addrAllocator {
	return &addrAllocator{host: fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)}
}

// freeAddr returns an address whose port is free at present. It does not return the same port again before the
// search has gone through the whole range.
func (a *addrAllocator) freeAddr() (string, error) {
	for range portCount {
		port := firstPort + a.next.Add(1)%portCount
		addr := net.JoinHostPort(a.host, strconv.FormatInt(port, 10))
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", eris.New("lab: no free port in the lab's range")
}

// isFree reports whether a process can listen on an address. It holds the lock that delays new processes, since a process
// that starts meanwhile would hold a copy of the listener until it runs its program.
func isFree(addr string) bool {
	testProcessHandles()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// testProcessHandles makes package os test process handles, which it does once and with a process that it starts without
// that lock.
var testProcessHandles = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})

var addrs = newAddrAllocator(os.Getpid())

// FreeAddr returns a loopback address whose port is free at present. Running processes that call it get
// different addresses.
func FreeAddr() (string, error) { return addrs.freeAddr() }
