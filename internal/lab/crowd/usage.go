package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meterInterval is the interval at which a Meter reads what cannot be read afterwards.
const meterInterval = 5 * time.Millisecond

// A Usage is the most that a process was seen to use.
type Usage struct {
	// Memory is the largest resident memory, Unread the largest amount of data that waited unread in the sockets at the
	// process's addresses, in bytes. The memory of a machine holds both.
	Memory, Unread int64
	// Files is the largest number of open file descriptors.
	Files int
}

// String returns the usage in KB.
func (u Usage) String() string {
	return fmt.Sprintf("memory %d KB, unread %d KB, %d files", u.Memory>>10, u.Unread>>10, u.Files)
}

// A Meter measures a process until Stop.
type Meter struct {
	pid int
	// ports holds the local ports of the sockets, as /proc writes them.
	ports map[string]bool
	end   chan struct{}
	done  sync.WaitGroup
	most  Usage
}

// StartMeter measures the process with the given ID, which listens on addrs.
func StartMeter(pid int, addrs ...string) *Meter {
	m := &Meter{pid: pid, ports: make(map[string]bool), end: make(chan struct{})}
	for _, addr := range addrs {
		if a, err := net.ResolveTCPAddr("tcp", addr); err == nil {
			m.ports[fmt.Sprintf("%04X", a.Port)] = true
		}
	}
	m.done.Go(m.run)
	return m
}

func (m *Meter) run() {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.end:
			return
		case <-ticker.C:
			m.most.Unread = max(m.most.Unread, m.unread())
			m.most.Files = max(m.most.Files, openFiles(m.pid))
		}
	}
}

// Stop ends the measurement and returns the most that was used. Memory is the kernel's own record since the process began; it
// is 0 if the process has ended.
func (m *Meter) Stop() Usage {
	close(m.end)
	m.done.Wait()
	m.most.Memory = peakMemory(m.pid)
	return m.most
}

// unread returns the number of bytes that wait in the sockets at the local ports. The other ends of the connections have
// other ports.
func (m *Meter) unread() int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", m.pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	const (
		localColumn, stateColumn, queueColumn = 1, 3, 4
		listening                             = "0A"
	)
	total := int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= queueColumn || columns[stateColumn] == listening {
			continue
		}
		_, port, _ := strings.Cut(columns[localColumn], ":")
		_, received, _ := strings.Cut(columns[queueColumn], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil && m.ports[port] {
			total += n
		}
	}
	return total
}

// openFiles returns the number of open file descriptors of a process, 0 if it has ended.
func openFiles(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// peakMemory returns the largest resident memory that a process has had, in bytes; 0 if it has ended.
func peakMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0
		}
		return kb << 10
	}
	return 0
}
