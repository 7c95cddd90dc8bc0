package gateway

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"rockcleat/clock"
	"rockcleat/intake"
	"rockcleat/internal/config"
	"rockcleat/internal/server"
	"rockcleat/overload"
)

// A connResult is what becomes of a new connection, as used in metrics.
type connResult string

const (
	// connTaken: its requests are served.
	connTaken connResult = "taken"
	// connRefused: its first request is refused.
	connRefused connResult = "refused"
	// connClosed: it is closed with nothing read.
	connClosed connResult = "closed"
	// connEvicted: it was taken, and ended later while it waited for its caller, to make room for others.
	connEvicted connResult = "evicted"
)

// minLoggedPeak is the number of pending requests from which a second is logged.
const minLoggedPeak = 8

// defaultMaxHeader is the largest permitted header of a request, in bytes, if the configuration does not say.
const defaultMaxHeader = 128 << 10

// A connIntake decides which new connections of callers are served, and counts them. It is safe for concurrent use.
type connIntake struct {
	limiter *intake.Limiter
	monitor *overload.Monitor
	fleet   *fleetLoad
	clock   clock.Service
	log     *requestLog
	// maxOpen is the highest possible number of open connections; 0 if it is not known.
	maxOpen int
	// cores is the processor that the VM has, in cores; 0 if it is not known.
	cores float64
	// heads bounds what the headers of all requests hold. headerLimit returns the limit on each header, in bytes; 0 if there is
	// none or it is not known.
	heads       *intake.HeadMemory
	headerLimit func() int
	// headerRefusals counts the refusals of headers since the last call of observe. bodies returns the memory that bodies and
	// buffered responses hold.
	headerRefusals headerRefusalCounts
	bodies         func() int64
	// open is the number of open connections.
	open atomic.Int64
	// makeRoom ends a number of connections that wait for their callers, makeHeadRoom those other than except that hold most memory
	// for headers. ending is the number of those not closed yet.
	makeRoom     func(n int)
	makeHeadRoom func(except *callerConn)
	ending       atomic.Int64
	// taken, refused, closed and evicted count the connections by what became of them since the last call of observe.
	taken, refused, closed, evicted atomic.Int64

	// The following fields are used by observe only.

	// observedAt is the time of the last call, processorTime the processor time that the process had used then.
	observedAt    time.Time
	processorTime time.Duration
}

func newConnIntake(s config.Gateway, fleet *fleetLoad, m *overload.Monitor, c clock.Service, log *requestLog) *connIntake {
	return &connIntake{
		limiter: intake.New(s.Processor.MaxDelay.Std()), monitor: m, fleet: fleet, clock: c, log: log, cores: s.Cores,
		maxOpen: server.MaxConns(s.MemoryMB), observedAt: c.Now(), processorTime: processorTime(),
		heads: server.NewHeaderMemory(s.MemoryMB), headerLimit: func() int { return 0 }, bodies: func() int64 { return 0 },
		makeRoom: func(int) {}, makeHeadRoom: func(*callerConn) {},
	}
}

// accept decides about a new connection. The caller must call release for one that is not closed.
func (i *connIntake) accept() connResult {
	if n := intake.Excess(int(i.open.Load()-i.ending.Load()), i.maxOpen); n > 0 {
		i.makeRoom(n)
	}
	result, count := connTaken, &i.taken
	switch i.limiter.Decide(i.conditions()) {
	case intake.Refuse:
		result, count = connRefused, &i.refused
	case intake.Close:
		result, count = connClosed, &i.closed
	}
	count.Add(1)
	if result != connClosed {
		i.open.Add(1)
	}
	return result
}

// movesCaller reports whether a connection should be closed after its current response, because the gateway has more
// connections than it should take and others have room. Its caller connects again, mostly elsewhere. The share of
// connections that are moved is that of the new ones that are turned away.
func (i *connIntake) movesCaller(now time.Time) bool {
	return rand.Float64() < i.limiter.ExcessShare(now) && !i.fleet.isBusy(now)
}

// conditions returns the present conditions of a decision.
func (i *connIntake) conditions() intake.Conditions {
	now := i.clock.Now()
	return intake.Conditions{
		Now: now, DelayShare: i.monitor.Share(), Random: rand.Float64(), Open: int(i.open.Load()), MaxOpen: i.maxOpen,
		OthersBusy: i.fleet.isBusy(now),
	}
}

// closeWaiting accepts and closes the connections that wait at a listener, as long as they should be closed. It takes two
// system calls for each, a third of what it takes to set one up for use.
func (i *connIntake) closeWaiting(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	// Errors are left to the next Accept.
	_ = raw.Control(func(fd uintptr) {
		for c := i.conditions(); i.limiter.ClosesNext(c); c = i.conditions() {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			_ = unix.Close(conn)
			i.limiter.RecordClosed(c.Now)
			i.closed.Add(1)
		}
	})
}

// release records that a connection which was not closed at once is closed.
func (i *connIntake) release() { i.open.Add(-1) }

// countEvicted records that a connection is being ended to make room for others, or that it is closed or stays after all.
func (i *connIntake) countEvicted(ending bool) {
	if !ending {
		i.ending.Add(-1)
		return
	}
	i.ending.Add(1)
	i.evicted.Add(1)
}

// maxHeader returns the largest permitted header of a request, in bytes.
func (i *connIntake) maxHeader() int {
	if limit := i.headerLimit(); limit > 0 {
		return limit
	}
	return defaultMaxHeader
}

// observe updates the metrics, and logs the time since the last call if many requests were pending or connections were
// turned away. It is called every sweepInterval.
func (i *connIntake) observe(now time.Time) {
	used := processorTime()
	elapsed, last := now.Sub(i.observedAt), i.processorTime
	i.observedAt, i.processorTime = now, used
	i.limiter.RecordUse(intake.Use{Processor: used - last, Elapsed: elapsed, Cores: i.cores})
	peak, taken, refused, closed, evicted := i.limiter.TakePeak(), i.taken.Swap(0), i.refused.Swap(0), i.closed.Swap(0), i.evicted.Swap(0)
	i.headerRefusals.observe(i)
	i.log.metrics.IntakeObserved(peak, (used - last).Seconds())
	for result, n := range map[connResult]int64{connTaken: taken, connRefused: refused, connClosed: closed, connEvicted: evicted} {
		i.log.metrics.ConnectionsAccepted(string(result), n)
	}
	if elapsed <= 0 || peak < minLoggedPeak && refused+closed+evicted == 0 {
		return
	}
	i.log.log.Info(msgConnections, zap.Int64(fieldCount, taken), zap.Int64(fieldRefused, refused), zap.Int64(fieldClosed, closed), zap.Int64(fieldEvicted, evicted),
		zap.Int64(fieldOpen, i.open.Load()), zap.Int(fieldPending, peak),
		zap.Float64(fieldPerSecond, i.limiter.HandedOnRate(now)), zap.Float64(fieldBearable, i.limiter.BearableRate(now)),
		zap.Float64(fieldTotal, elapsed.Seconds()),
		zap.Float64(fieldProcessorUsed, (used-last).Seconds()/elapsed.Seconds()), zap.Float64(fieldCores, i.cores),
		zap.Float64(fieldOthersExcess, i.fleet.excessShare(now)))
}

// processorTime returns the processor time that the process has used so far; 0 if it is not known.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// excessTTL is how long the share of connections that other gateways turn away stays valid after the leader's reply.
	excessTTL = 3 * time.Second
	// maxUsefulExcess is the share from which turning a caller away does not help it: others probably do the same.
	maxUsefulExcess = 0.5
)

// A fleetLoad knows which share of new connections the other gateways turn away, as the leader says. It is safe for
// concurrent use.
type fleetLoad struct {
	// gateways returns the number of gateways, this one included.
	gateways func() int

	mu     sync.Mutex
	excess float64
	at     time.Time
}

// setExcess records the share of new connections that other gateways turn away, from 0 to 1.
func (f *fleetLoad) setExcess(share float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excess, f.at = share, now
}

// excessShare returns the share of new connections that other gateways turn away, 0 if it is not known.
func (f *fleetLoad) excessShare(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.at) > excessTTL {
		return 0
	}
	return f.excess
}

// isBusy reports whether a caller that is turned away is probably turned away again, or there is no other gateway.
func (f *fleetLoad) isBusy(now time.Time) bool {
	return f.gateways() <= 1 || f.excessShare(now) >= maxUsefulExcess
}
