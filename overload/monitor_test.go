package overload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/overload"
)

const ms = time.Millisecond

// maxDelay is the maximum delay of the tests' Monitors, which refuse requests from a fifth of it on.
const maxDelay = 250 * ms

// A process sends the ticks of a simulated process to a Monitor.
type process struct {
	monitor *overload.Monitor
	now     time.Time
	// highest is the highest share of requests to refuse so far.
	highest float64
}

func newProcess() *process {
	return &process{monitor: overload.New(maxDelay), now: time.Unix(0, 0)}
}

// tick sends a tick with the given delay.
func (p *process) tick(delay time.Duration) {
	due := p.now.Add(overload.TickInterval)
	p.now = due.Add(delay)
	p.monitor.Tick(due, p.now)
	p.highest = max(p.highest, p.monitor.Share())
}

// run sends ticks with the given delay for a time.
func (p *process) run(delay, d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.tick(delay)
	}
}

// TestShare checks how the share follows from the delays of ticks: refusals without load, and load without refusals,
// are the failures.
func TestShare(t *testing.T) {
	tests := map[string]struct {
		do       func(p *process)
		min, max float64
	}{
		"no tick yet":                    {do: func(*process) {}},
		"in time":                        {do: func(p *process) { p.run(0, 10*time.Second) }},
		"early":                          {do: func(p *process) { p.run(-5*ms, time.Second) }},
		"no processor time for a period": {do: func(p *process) { p.run(100*ms, 10*time.Second) }},
		"one garbage collection":         {do: func(p *process) { p.run(0, time.Second); p.tick(300 * ms); p.run(0, time.Second) }},
		"one suspension":                 {do: func(p *process) { p.run(0, time.Second); p.tick(time.Minute); p.run(0, time.Second) }},
		"suspended as it starts":         {do: func(p *process) { p.tick(time.Hour); p.run(0, time.Second) }},
		"repeated suspensions": {do: func(p *process) {
			for range 50 {
				p.tick(2 * time.Second)
				p.tick(80 * ms)
			}
		}},
		"a short burst":       {do: func(p *process) { p.tick(120 * ms); p.tick(120 * ms); p.run(0, time.Second) }},
		"late":                {do: func(p *process) { p.run(150*ms, 5*time.Second) }, min: 0.45, max: 0.6},
		"later":               {do: func(p *process) { p.run(200*ms, 5*time.Second) }, min: 0.7, max: 0.85},
		"too late":            {do: func(p *process) { p.run(250*ms, 5*time.Second) }, min: 0.99, max: 1},
		"very late":           {do: func(p *process) { p.run(2*time.Second, 10*time.Second) }, min: 1, max: 1},
		"after half a second": {do: func(p *process) { p.run(300*ms, 600*ms) }, min: 0.2, max: 0.6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProcess()
			test.do(p)
			assert.Assert(t, p.highest >= test.min && p.highest <= test.max, "share %.3f", p.highest)
		})
	}
}

// TestThresholds checks that the lower threshold follows from the maximum delay, and that 0 turns refusals off.
func TestThresholds(t *testing.T) {
	tests := map[string]struct {
		maxDelay, delay time.Duration
		refuses         bool
	}{
		"off":               {delay: time.Second},
		"below a fifth":     {maxDelay: time.Second, delay: 190 * ms},
		"above a fifth":     {maxDelay: time.Second, delay: 220 * ms, refuses: true},
		"smallest setting":  {maxDelay: 100 * ms, delay: 150 * ms, refuses: true},
		"quota is no delay": {maxDelay: 100 * ms, delay: 100 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := overload.New(test.maxDelay)
			now := time.Unix(0, 0)
			for range 100 {
				due := now.Add(overload.TickInterval)
				now = due.Add(test.delay)
				m.Tick(due, now)
			}
			assert.Equal(t, m.Refuse(0), test.refuses, "delay %v", m.Delay())
		})
	}
}

// TestRefusalsEndWithTheLoad guards against a gateway that goes on to refuse when its ticks are in time again.
func TestRefusalsEndWithTheLoad(t *testing.T) {
	p := newProcess()
	p.run(time.Second, 20*time.Second)
	assert.Assert(t, p.monitor.Refuse(0.999))
	p.run(0, time.Second)
	assert.Assert(t, !p.monitor.Refuse(0), "delay %v", p.monitor.Delay())
}

// TestRefusedShare checks that Refuse refuses the share that Share returns.
func TestRefusedShare(t *testing.T) {
	p := newProcess()
	p.run(150*ms, 5*time.Second)
	random, refused := rand.New(rand.NewPCG(1, 2)), 0
	const n = 10000
	for range n {
		if p.monitor.Refuse(random.Float64()) {
			refused++
		}
	}
	assert.Assert(t, math.Abs(float64(refused)/n-p.monitor.Share()) < 0.02, "%d of %d", refused, n)
}

// TestIsolatedDelays checks for random delays that no tick is counted whose neighbours were in time, however late
// it was, and that delays within a quota period are never counted.
func TestIsolatedDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess()
		normal := rapid.Int64Range(0, int64(100*ms))
		for range rapid.IntRange(1, 100).Draw(t, "rounds") {
			p.tick(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "delay")))
			for range rapid.IntRange(1, 5).Draw(t, "ticks") {
				p.tick(time.Duration(normal.Draw(t, "normal")))
			}
		}
		assert.Equal(t, p.highest, 0.0)
		assert.Equal(t, p.monitor.Delay(), time.Duration(0))
	})
}

// TestLongerDelaysRefuseMore checks that the share is between 0 and 1 and does not fall when all delays grow.
func TestLongerDelaysRefuseMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shorter, longer := overload.New(maxDelay), overload.New(maxDelay)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 100).Draw(t, "ticks") {
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			more := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "more"))
			now = now.Add(3 * time.Second)
			shorter.Tick(now.Add(-delay), now)
			longer.Tick(now.Add(-delay-more), now)
			assert.Assert(t, shorter.Share() >= 0 && longer.Share() <= 1)
			assert.Assert(t, shorter.Share() <= longer.Share())
		}
	})
}

// A quotaProcess simulates a process that may use quota in every 100 ms and works off its queue in the order of
// arrival, ticks included.
type quotaProcess struct {
	quota time.Duration
	// cost is the processor time of a request, rate the number of requests per second.
	cost time.Duration
	rate float64
}

// highestShare returns the highest share of requests to refuse in the given time, if no request is refused.
func (q quotaProcess) highestShare(d time.Duration) float64 {
	const step = ms / 5
	m, highest := overload.New(maxDelay), 0.0
	start := time.Unix(0, 0)
	var queued, arrived, used time.Duration
	due, tickQueued, ahead := overload.TickInterval, false, time.Duration(0)
	for at := time.Duration(0); at < d; at += step {
		if at%(100*ms) == 0 {
			used = 0
		}
		for ; arrived.Seconds()*q.rate <= at.Seconds()*q.rate; arrived += time.Duration(float64(time.Second) / q.rate) {
			queued += q.cost
		}
		if !tickQueued && at >= due {
			tickQueued, ahead = true, queued
		}
		if used+step > q.quota {
			continue
		}
		if tickQueued && ahead <= 0 {
			m.Tick(start.Add(due), start.Add(at))
			highest = max(highest, m.Share())
			due, tickQueued = at+overload.TickInterval, false
		}
		if queued > 0 {
			queued, ahead, used = queued-step, ahead-step, used+step
		}
	}
	return highest
}

// TestQuota checks that a process with a processor quota refuses nothing while its work fits into the quota, although
// it is without processor time in most periods, and refuses when work queues up.
func TestQuota(t *testing.T) {
	tests := map[string]struct {
		process quotaProcess
		refuses bool
	}{
		"0.144 of a core, a third used":   {process: quotaProcess{quota: 14400 * time.Microsecond, cost: ms, rate: 48}},
		"0.144 of a core, nine tenths":    {process: quotaProcess{quota: 14400 * time.Microsecond, cost: ms, rate: 130}},
		"0.109 of a core, large requests": {process: quotaProcess{quota: 10900 * time.Microsecond, cost: 5 * ms, rate: 18}},
		"0.8 of a core, nine tenths":      {process: quotaProcess{quota: 80 * ms, cost: ms, rate: 720}},
		"0.144 of a core, twice as much":  {process: quotaProcess{quota: 14400 * time.Microsecond, cost: ms, rate: 288}, refuses: true},
		"0.8 of a core, a fifth too much": {process: quotaProcess{quota: 80 * ms, cost: ms, rate: 960}, refuses: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			share := test.process.highestShare(10 * time.Second)
			if test.refuses {
				assert.Equal(t, share, 1.0)
			} else {
				assert.Equal(t, share, 0.0)
			}
		})
	}
}
