package config

import "time"

// Retry contains the settings of the retry budget that all gateways share.
type Retry struct {
	// Window is the sliding window that retries are counted in.
	Window Duration `yaml:"window"`
	// Ratio is the number of retries allowed per request, Fixed the number allowed in addition.
	Ratio float64 `yaml:"ratio"`
	Fixed float64 `yaml:"fixed"`
}

// Quota contains the settings for how far an organisation may exceed its limit in any Window.
type Quota struct {
	Window Duration `yaml:"window"`
	// OverRatio is the permitted excess relative to what the limit allows in the window. Slack is a further
	// permitted amount, in the limit's unit.
	OverRatio float64 `yaml:"over"`
	Slack     float64 `yaml:"slack"`
}

// Warmup contains the settings for how far a server that is warming up may be loaded beyond the rate that it accepts.
type Warmup struct {
	// Over is the largest permitted number of requests in any second, relative to the server's rate; 0 if there is no
	// such bound. Slack is a number of requests permitted on top.
	Over  float64 `yaml:"over"`
	Slack float64 `yaml:"slack"`
}

// Admission contains the settings for how the owners of servers admit requests.
type Admission struct {
	// MaxSlots selects the services whose servers have at most this many slots. Their owners count each request until
	// its end and keep one queue for all gateways. 0 selects none.
	MaxSlots int `yaml:"max_slots"`
}

// Placement contains the settings for which models engines hold.
type Placement struct {
	// EngineTime selects, among the services that Admission selects, a plan by the engine time that is requested of each
	// model instead of tokens, and the replacement of lost replicas before others.
	EngineTime bool `yaml:"engine_time"`
}

// Speeds contains the settings for the speeds of backend servers.
type Speeds struct {
	// Learn is set if the speeds of servers are learned from their responses and used.
	Learn bool `yaml:"learn"`
}

// Processor contains the settings for what a gateway does when it is short of processor time.
type Processor struct {
	// MaxDelay is the delay of the process's own work from which all new requests are refused. From a fifth of it on, a
	// share of them is; 0 if none is.
	MaxDelay Duration `yaml:"max_delay"`
}

func (p Processor) check(c *checker) {
	c.require(p.MaxDelay == 0 || p.MaxDelay.Std() >= minProcessorDelay, "processor.max_delay", "must be 0s or at least "+minProcessorDelay.String())
}

// minProcessorDelay is the shortest delay that can be attributed to load: a processor quota alone causes up to 100 ms.
const minProcessorDelay = 100 * time.Millisecond

// Gateway contains the settings of a gateway.
type Gateway struct {
	// ID is the VM's name, Hall the data hall that it is in.
	ID   string `yaml:"id"`
	Hall string `yaml:"hall"`
	// Regions maps each data hall to its region.
	Regions map[string]string `yaml:"regions"`
	// Listen is the address for callers, ReadyListen the one for the load balancer's readiness checks,
	// PeerListen the one for other gateways, MetricsListen the one for metrics, which may be empty.
	Listen        string `yaml:"listen"`
	ReadyListen   string `yaml:"ready_listen"`
	PeerListen    string `yaml:"peer_listen"`
	MetricsListen string `yaml:"metrics_listen"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	Log   Log    `yaml:"log"`
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace Duration `yaml:"grace"`
	// LeaseTTL is the time to live of the leader's lease, after which another gateway may lead.
	LeaseTTL Duration `yaml:"lease_ttl"`
	// WatchTimeout bounds one watch of the store, so that a broken connection is detected.
	WatchTimeout Duration `yaml:"watch_time"`
	// StoreTimeout bounds any other call to the store, EngineTimeout a call to an engine.
	StoreTimeout  Duration `yaml:"store_timeout"`
	EngineTimeout Duration `yaml:"engine_timeout"`
	// IdleTimeout is how long idle connections to backend servers are kept.
	IdleTimeout Duration `yaml:"idle_time"`
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout Duration `yaml:"body_time"`
	// Gateways is the number of gateways to assume until they have been counted.
	Gateways int `yaml:"gateways"`
	// Cores is the VM's share of processor cores, LinkMbps the bandwidth of its link in Mbit/s; 0 if unknown.
	Cores    float64 `yaml:"cores"`
	LinkMbps float64 `yaml:"link_mbps"`
	// MemoryMB is the memory that the VM has for the process, in MB; 0 if unknown.
	MemoryMB float64 `yaml:"memory_mb"`
	// Seeds are the PeerListen addresses of some gateways, which may be down. A starting gateway
	// contacts them before it reads the store.
	Seeds      []string   `yaml:"seeds"`
	Retry      Retry      `yaml:"retry"`
	Quarantine Quarantine `yaml:"quarantine"`
	Quota      Quota      `yaml:"quota"`
	Warmup     Warmup     `yaml:"warmup"`
	Admission  Admission  `yaml:"admission"`
	Speeds     Speeds     `yaml:"speeds"`
	Placement  Placement  `yaml:"placement"`
	Processor  Processor  `yaml:"processor"`
	// MaxRevocationDelay is the time within which every gateway rejects a key that operators revoked, whatever
	// has failed; 0 for no such bound.
	MaxRevocationDelay Duration `yaml:"revoke_time"`
}

// Defaults of the gateway's settings. The deployment template deploy/gateway.yaml sets grace, lease_ttl
// and retry.
const (
	defaultGrace = 8 * time.Second
	// defaultGatewayLeaseTTL is three renewal intervals (lease.renewalsPerTTL).
	defaultGatewayLeaseTTL = 3 * time.Second
	// defaultWatchTimeout is the maximum time for which a broken watch remains undetected.
	defaultWatchTimeout = 2 * time.Second
	// defaultStoreTimeout is less than the lease's renewal interval.
	defaultStoreTimeout  = 900 * time.Millisecond
	defaultEngineTimeout = 700 * time.Millisecond
	defaultIdleTimeout   = 1500 * time.Millisecond
	defaultBodyTimeout   = 5 * time.Second
	defaultGateways      = 6
	// By default, one retry per ten requests and ten more are allowed in a window.
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryFixed  = 10
)

// EngineTimeSlots returns the number of slots up to which the servers of a service are planned in engine time; 0 if none are.
func (g *Gateway) EngineTimeSlots() int {
	if !g.Placement.EngineTime {
		return 0
	}
	return g.Admission.MaxSlots
}

func (g *Gateway) setDefaults() {
	*g = Gateway{
		Log:   Log{Level: "info", Format: "json"},
		Grace: Duration(defaultGrace), LeaseTTL: Duration(defaultGatewayLeaseTTL), WatchTimeout: Duration(defaultWatchTimeout),
		StoreTimeout: Duration(defaultStoreTimeout), EngineTimeout: Duration(defaultEngineTimeout),
		IdleTimeout: Duration(defaultIdleTimeout), BodyTimeout: Duration(defaultBodyTimeout), Gateways: defaultGateways,
		Retry: Retry{Window: Duration(defaultRetryWindow), Ratio: defaultRetryRatio, Fixed: defaultRetryFixed},
	}
	g.Quarantine.setDefaults()
}

func (g *Gateway) check(c *checker) {
	c.require(g.ID != "", "id", "must name the VM")
	c.require(g.Hall != "", "hall", "must name the data hall")
	c.require(isAddr(g.Listen), "listen", "must be IP:PORT")
	c.require(isAddr(g.ReadyListen), "ready_listen", "must be IP:PORT")
	c.require(isAddr(g.PeerListen), "peer_listen", "must be IP:PORT")
	c.require(g.MetricsListen == "" || isAddr(g.MetricsListen), "metrics_listen", "must be IP:PORT or empty")
	c.require(isAddr(g.Store), "store", "must be IP:PORT")
	for key, d := range map[string]Duration{
		"grace": g.Grace, "lease_ttl": g.LeaseTTL, "watch_time": g.WatchTimeout, "store_timeout": g.StoreTimeout,
		"engine_timeout": g.EngineTimeout, "idle_time": g.IdleTimeout, "body_time": g.BodyTimeout, "retry.window": g.Retry.Window,
	} {
		c.require(d > 0, key, "must be longer than 0s")
	}
	for _, addr := range g.Seeds {
		c.require(isAddr(addr), "seeds", "must be a list of IP:PORT")
	}
	c.require(g.Gateways > 0, "gateways", "must be at least 1")
	c.require(g.Cores >= 0, "cores", "must not be negative")
	c.require(g.MemoryMB >= 0, "memory_mb", "must not be negative")
	c.require(g.LinkMbps >= 0, "link_mbps", "must not be negative")
	c.require(g.Retry.Ratio >= 0, "retry.ratio", "must not be negative")
	c.require(g.Retry.Fixed >= 0, "retry.fixed", "must not be negative")
	c.require(g.Quota.Window >= 0, "quota.window", "must not be negative")
	c.require(g.Quota.OverRatio >= 0, "quota.over", "must not be negative")
	c.require(g.Quota.Slack >= 0, "quota.slack", "must not be negative")
	c.require(g.Admission.MaxSlots >= 0, "admission.max_slots", "must not be negative")
	c.require(g.Warmup.Over >= 0, "warmup.over", "must not be negative")
	c.require(g.Warmup.Slack >= 0, "warmup.slack", "must not be negative")
	c.require(g.MaxRevocationDelay >= 0, "revoke_time", "must not be negative")
	g.Quarantine.check(c)
	g.Processor.check(c)
}
