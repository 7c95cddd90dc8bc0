package config

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// Log contains the settings of a process's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is json or console.
	Format string `yaml:"format"`
}

// Process contains the settings that entry and agent have in common.
type Process struct {
	// ID is the VM's name in the platform's list.
	ID string `yaml:"id"`
	// Hall is the data hall that the VM is in.
	Hall string `yaml:"hall"`
	// Listen is the address for requests; ControlListen the one for other processes, operators,
	// health and metrics.
	Listen        string `yaml:"listen"`
	ControlListen string `yaml:"control_listen"`
	// Secret is the shared secret of all processes and operators.
	Secret string `yaml:"secret"`
	// KV is the base URL of the platform's key-value service.
	KV  string `yaml:"kv"`
	Log Log    `yaml:"log"`
	// LeaveTime is how long a stopping process still accepts requests, so that their senders
	// learn of the shutdown.
	LeaveTime Duration `yaml:"leave_time"`
	// DrainTimeout bounds the wait for requests in progress after LeaveTime.
	DrainTimeout Duration `yaml:"drain_time"`
}

// Planner contains the settings of the planner role.
type Planner struct {
	// CellSize is the maximum number of backend servers in a cell.
	CellSize int `yaml:"cell_size"`
	// ExchangeInterval is the interval between two exchanges with an agent.
	ExchangeInterval Duration `yaml:"exchange_every"`
	// TargetUtilization is the planned utilisation of a replica: a fraction of an accelerator's slots.
	TargetUtilization float64 `yaml:"headroom"`
	// Hold is how long a replica is kept after demand no longer justifies it.
	Hold Duration `yaml:"hold"`
	// MaxLoads is the maximum number of concurrent loads from the weight store.
	MaxLoads int `yaml:"max_loads"`
	// LoadsPerSecond is the maximum rate at which loads from the weight store start.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// LeaseTTL is the time to live of a cell's lease, after which another entry may take it over.
	LeaseTTL Duration `yaml:"lease_ttl"`
}

// Claims contains the settings of the records of requests that must not be repeated.
type Claims struct {
	// Shards is the number of shards of the records.
	Shards int `yaml:"shards"`
	// Retention is the minimum time for which a record is kept.
	Retention Duration `yaml:"retention"`
	// WritesPerSecond is the share of the platform's write rate that all shards together may use.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// LeaseTTL is the time to live of a shard's lease, after which another entry may take it over.
	LeaseTTL Duration `yaml:"lease_ttl"`
}

// Limits contains the bounds on a process's requests and the timeout for agents that stop responding.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `yaml:"body_bytes"`
	// InFlight is the maximum number of concurrent requests.
	InFlight int `yaml:"in_flight"`
	// BodyTimeout bounds the reading of a request body.
	BodyTimeout Duration `yaml:"body_time"`
	// MemoryMB is the memory that the VM has for the process, in MB. Connections, headers and bodies take fixed shares of it.
	MemoryMB float64 `yaml:"memory_mb"`
	// HeartbeatTimeout is the time without a message after which an agent counts as lost. Agents send a
	// heartbeat four times within it. It must be the same on all processes.
	HeartbeatTimeout Duration `yaml:"silent_time"`
}

// Entry contains the settings of an entry daemon.
type Entry struct {
	Process `yaml:",inline"`
	// VMs and Weights are the base URLs of the platform's list of VMs and of its weight store.
	VMs     string `yaml:"vms"`
	Weights string `yaml:"weights"`
	// VMsInterval is the interval between two requests for the list of VMs.
	VMsInterval Duration `yaml:"vms_every"`
	// SyncInterval is the interval between two state exchanges with another entry.
	SyncInterval Duration   `yaml:"sync_every"`
	Planner      Planner    `yaml:"planner"`
	Claims       Claims     `yaml:"claims"`
	Quarantine   Quarantine `yaml:"quarantine"`
	Limits       Limits     `yaml:"limits"`
}

// Backend contains the settings of the backend server that an agent runs beside.
type Backend struct {
	// URL is the backend server's base URL.
	URL string `yaml:"url"`
	// Kind is BackendEngine or BackendService.
	Kind string `yaml:"kind"`
	// Services are the table rows that a plain service handles.
	Services []string `yaml:"services"`
	// OrderLifetime is the time after which an order that is still in transit can no longer take
	// effect.
	OrderLifetime Duration `yaml:"order_lifetime"`
	// Slots is the maximum number of concurrent calls to a plain service.
	Slots int `yaml:"slots"`
}

// Agent contains the settings of an agent daemon.
type Agent struct {
	Process `yaml:",inline"`
	Backend Backend `yaml:"backend"`
	// VMs is the base URL of the platform's list of VMs, which the agent reads only while no planner
	// contacts it; it may be empty.
	VMs string `yaml:"vms"`
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int    `yaml:"max_waiting"`
	Limits    Limits `yaml:"limits"`
}

// Kinds of backend servers.
const (
	BackendEngine  = "engine"
	BackendService = "service"
)

func (p *Process) setDefaults() {
	p.Log = Log{Level: "info", Format: "json"}
	p.LeaveTime = Duration(3 * time.Second)
	p.DrainTimeout = Duration(2 * time.Minute)
}

// defaultMemoryMB is the memory of the smallest VM that a daemon runs on, in MB.
const defaultMemoryMB = 144

func (l *Limits) setDefaults() {
	l.BodyBytes = 8 << 20
	l.InFlight = 4096
	l.BodyTimeout = Duration(20 * time.Second)
	l.MemoryMB = defaultMemoryMB
	l.HeartbeatTimeout = Duration(10 * time.Second)
}

func (e *Entry) setDefaults() {
	e.Process.setDefaults()
	e.Limits.setDefaults()
	e.VMsInterval = Duration(2 * time.Second)
	e.SyncInterval = Duration(time.Second)
	e.Planner = Planner{
		CellSize: 24, ExchangeInterval: Duration(5 * time.Second), TargetUtilization: 0.7,
		Hold: Duration(time.Minute), MaxLoads: 10, LoadsPerSecond: 1.5, LeaseTTL: Duration(9 * time.Second),
	}
	e.Claims = Claims{
		Shards: 4, Retention: Duration(10 * time.Minute), WritesPerSecond: 50, LeaseTTL: Duration(9 * time.Second),
	}
	e.Quarantine.setDefaults()
}

func (a *Agent) setDefaults() {
	a.Process.setDefaults()
	a.Limits.setDefaults()
	a.MaxQueued = 1024
	a.Backend = Backend{Kind: BackendEngine, OrderLifetime: Duration(30 * time.Second), Slots: 16}
}

// minSecretLength is the minimum length of a secret, in bytes.
const minSecretLength = 16

func (p *Process) check(c *checker) {
	c.require(p.ID != "", "id", "is required: the VM's name in the platform's list")
	c.require(p.Hall != "", "hall", "is required: the data hall that the VM is in")
	c.require(isAddr(p.Listen), "listen", "must be IP:port, such as 10.0.0.5:8080")
	c.require(isAddr(p.ControlListen), "control_listen", "must be IP:port, such as 10.0.0.5:8081")
	c.require(p.Listen != p.ControlListen || p.Listen == "", "control_listen", "must differ from listen")
	c.require(len(p.Secret) >= minSecretLength, "secret", "must have at least 16 characters")
	c.require(isURL(p.KV), "kv", "must be a URL, such as http://10.0.0.2:7000")
	levels := []string{"debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, p.Log.Level), "log.level", "must be debug, info, warn or error")
	c.require(p.Log.Format == "json" || p.Log.Format == "console", "log.format", "must be json or console")
	c.requireBetween(p.LeaveTime, 0, time.Minute, "leave_time")
	c.requireBetween(p.DrainTimeout, time.Second, time.Hour, "drain_time")
}

// requireBetween adds a problem with a key unless low <= d <= high.
func (c *checker) requireBetween(d Duration, low, high time.Duration, key string) {
	c.require(d.Std() >= low && d.Std() <= high, key, "must be from "+low.String()+" to "+high.String())
}

// minMemoryMB is the least memory with which a daemon works, in MB.
const minMemoryMB = 64

func (l *Limits) check(c *checker) {
	c.require(l.BodyBytes >= 1024 && l.BodyBytes <= 1<<30, "limits.body_bytes", "must be from 1024 to 1073741824")
	c.require(l.InFlight >= 1 && l.InFlight <= 1000000, "limits.in_flight", "must be from 1 to 1000000")
	c.require(l.MemoryMB >= minMemoryMB, "limits.memory_mb", "must be at least 64")
	c.requireBetween(l.BodyTimeout, 100*time.Millisecond, 10*time.Minute, "limits.body_time")
	c.requireBetween(l.HeartbeatTimeout, 100*time.Millisecond, 10*time.Minute, "limits.silent_time")
}

func (e *Entry) check(c *checker) {
	e.Process.check(c)
	e.Limits.check(c)
	c.require(isURL(e.VMs), "vms", "must be a URL, such as http://10.0.0.2:7001")
	c.require(isURL(e.Weights), "weights", "must be a URL, such as http://10.0.0.2:7002")
	c.requireBetween(e.VMsInterval, 50*time.Millisecond, time.Minute, "vms_every")
	c.requireBetween(e.SyncInterval, 50*time.Millisecond, 10*time.Second, "sync_every")
	e.Planner.check(c)
	e.Claims.check(c)
	e.Quarantine.check(c)
}

func (p *Planner) check(c *checker) {
	c.require(p.CellSize >= 1 && p.CellSize <= 48, "planner.cell_size", "must be from 1 to 48")
	c.requireBetween(p.ExchangeInterval, 50*time.Millisecond, 10*time.Second, "planner.exchange_every")
	c.require(p.TargetUtilization > 0 && p.TargetUtilization <= 1, "planner.headroom", "must be above 0 and at most 1")
	c.requireBetween(p.Hold, 0, time.Hour, "planner.hold")
	c.require(p.MaxLoads >= 1 && p.MaxLoads <= 1000, "planner.max_loads", "must be from 1 to 1000")
	c.require(p.LoadsPerSecond > 0, "planner.loads_per_second", "must be above 0")
	c.requireBetween(p.LeaseTTL, 500*time.Millisecond, time.Minute, "planner.lease_ttl")
}

func (cl *Claims) check(c *checker) {
	c.require(cl.Shards >= 1 && cl.Shards <= 256, "claims.shards", "must be from 1 to 256")
	c.requireBetween(cl.Retention, time.Second, 24*time.Hour, "claims.retention")
	c.require(cl.WritesPerSecond > 0, "claims.writes_per_second", "must be above 0")
	c.requireBetween(cl.LeaseTTL, 500*time.Millisecond, time.Minute, "claims.lease_ttl")
}

func (a *Agent) check(c *checker) {
	a.Process.check(c)
	a.Limits.check(c)
	c.require(a.VMs == "" || isURL(a.VMs), "vms", "must be a URL, such as http://10.0.0.2:7001")
	c.require(isURL(a.Backend.URL), "backend.url", "must be a URL, such as http://127.0.0.1:9000")
	validKind := a.Backend.Kind == BackendEngine || a.Backend.Kind == BackendService
	c.require(validKind, "backend.kind", "must be engine or service")
	hasServices := a.Backend.Kind != BackendService || len(a.Backend.Services) > 0
	c.require(hasServices, "backend.services", "must name the table rows that the service answers")
	c.requireBetween(a.Backend.OrderLifetime, 100*time.Millisecond, 10*time.Minute, "backend.order_lifetime")
	c.require(a.Backend.Slots >= 1, "backend.slots", "must be at least 1")
	c.require(a.MaxQueued >= 1 && a.MaxQueued <= 100000, "max_waiting", "must be from 1 to 100000")
}

// isAddr reports whether s has the form IP:PORT with a literal IP address.
func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

// isURL reports whether s is an http URL with a host.
func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != ""
}
