package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// Secret is the shared secret in the settings of all daemons of a lab.
const Secret = "lab-secret-0123456789"

// An EngineOptions configures the engines of a lab.
type EngineOptions struct {
	Accelerators int
	// MemoryMiB is the memory of each accelerator.
	MemoryMiB int
	// Slots is the maximum batch size of an accelerator, in sequences.
	Slots int
	// Step is the duration of a decoding step.
	Step time.Duration
	// PrefillTokensPerSecond is the prefill rate in prompt tokens per second.
	PrefillTokensPerSecond float64
	// SkipFenceCheck makes the engine accept orders with any fencing token.
	SkipFenceCheck bool
}

// Options configures a System.
type Options struct {
	// Bin is the folder of the built programs, Dir the one for settings and logs.
	Bin, Dir string
	// Halls are the data halls, over which the VMs of each kind are spread in turn.
	Halls    []string
	Entries  int
	Engines  int
	Services int
	Engine   EngineOptions
	// ServiceRows are the names of the table rows that every plain service serves.
	ServiceRows []string
	// Rows are saved as the first table.
	Rows []table.Row
	// Sizes are the models and adapters in the weight store.
	Sizes map[string]placement.Size
	// VMLag is the delay before the list of VMs shows a change.
	VMLag time.Duration
	// KVReadsPerSecond and KVWritesPerSecond are the rate limits of the key-value service per second; zero means
	// no limit.
	KVReadsPerSecond, KVWritesPerSecond float64
	// LoadsPerSecond is the rate limit of the weight store in loads per second, FullSpeedLoads its number of
	// concurrent loads at full speed, and LoadMiBPerSecond the full speed of a load in MiB/s.
	LoadsPerSecond   float64
	FullSpeedLoads   int
	LoadMiBPerSecond float64
	// ServiceDelay is the duration of a call of a plain service.
	ServiceDelay time.Duration
	// Entry and Agent, if not nil, change the settings of each entry and each agent.
	Entry func(*config.Entry)
	Agent func(*config.Agent)
	// EntryPort is the port of the first entry for clients; the next port is its control port.
	// Zero selects free ports.
	EntryPort int
}

// A Node is a daemon of a lab: an entry or an agent.
type Node struct {
	*Process
	// ID is the ID of its VM, Hall the data hall.
	ID   string
	Hall string
	// Addr is the address for requests, Control that of the control interface.
	Addr    string
	Control string
	// configPath is the path of the settings file, program the name of the executable.
	configPath string
	program    string
}

// A Backend is a backend server and its agent.
type Backend struct {
	Agent  *Node
	Server *Process
	// URL is the base URL of the server.
	URL string
	// startServer starts another process of the server at the same address.
	startServer func() (*Process, error)
	// Service is set for a plain service and unset for an engine.
	Service bool
}

// A System is a running lab.
type System struct {
	opts Options
	// KVURL, VMsURL and WeightsURL are the base URLs of the key-value service, the list of VMs and the
	// weight store.
	KVURL      string
	VMsURL     string
	WeightsURL string

	// mu is held while the fields below are changed.
	mu       sync.Mutex
	Entries  []*Node
	Backends []*Backend
	// processes holds every process started, those that have exited included.
	processes []*Process
}

// startTimeout is the timeout of the start of one process.
const startTimeout = 30 * time.Second

// Start starts a system and, if it has table rows, waits until its entries are ready and list a
// ready server for every row. If it fails, it stops all processes.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{opts: o}
	if err := s.startAll(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// startAll starts the platform's stand-ins, the backend servers and the entries in this order,
// then saves the rows.
func (s *System) startAll(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	for i := range s.opts.Engines {
		if err := s.startEngine(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.opts.Services {
		if err := s.startService(ctx, i); err != nil {
			return err
		}
	}
	for range s.opts.Entries {
		if _, err := s.AddEntry(ctx); err != nil {
			return err
		}
	}
	if len(s.opts.Rows) == 0 {
		return nil
	}
	if _, err := s.SaveChanges(ctx, table.Diff(nil, s.opts.Rows, false)); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := WaitUntil(ctx, e.ID+" is ready", func() bool { return respondsOK("http://" + e.Control + wire.PathReady) }); err != nil {
			return err
		}
	}
	return s.AwaitRowsReady(ctx)
}

// startStandin starts a stand-in on a free address and waits until it listens. It returns the
// process, its base URL and a function that starts another process at the same address.
func (s *System) startStandin(ctx context.Context, name string, args ...string) (*Process, string, func() (*Process, error), error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, "", nil, err
	}
	startAgain := func() (*Process, error) {
		allArgs := append(append([]string{}, args...), "-listen", addr)
		p, err := StartProcess(s.opts.Dir, name, filepath.Join(s.opts.Bin, "rockcleat-standin"), allArgs...)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.processes = append(s.processes, p)
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		return p, WaitUntil(ctx, name+" listens", func() bool { return acceptsConnections(addr) })
	}
	p, err := startAgain()
	return p, "http://" + addr, startAgain, err
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// startPlatform starts the stand-ins of the platform's services and fills the weight store.
func (s *System) startPlatform(ctx context.Context) (err error) {
	o := s.opts
	if _, s.KVURL, _, err = s.startStandin(ctx, "kv", "kv", "-reads", formatFloat(o.KVReadsPerSecond), "-writes", formatFloat(o.KVWritesPerSecond)); err != nil {
		return err
	}
	if _, s.VMsURL, _, err = s.startStandin(ctx, "vms", "vms", "-lag", o.VMLag.String()); err != nil {
		return err
	}
	_, s.WeightsURL, _, err = s.startStandin(ctx, "weights", "weights", "-loads", formatFloat(o.LoadsPerSecond),
		"-full-speed", strconv.Itoa(o.FullSpeedLoads), "-speed", formatFloat(o.LoadMiBPerSecond))
	if err != nil {
		return err
	}
	return sendJSON(ctx, http.MethodPut, s.WeightsURL+"/v1/weights", inventory.Catalogue{Sizes: o.Sizes}, nil)
}

// hallOf returns the data hall of the i-th VM of its kind.
func (s *System) hallOf(i int) string { return s.opts.Halls[i%len(s.opts.Halls)] }

func (s *System) startEngine(ctx context.Context, i int) error {
	o := s.opts.Engine
	name := fmt.Sprintf("engine-%d", i)
	p, url, startAgain, err := s.startStandin(ctx, name, "engine",
		"-accelerators", strconv.Itoa(o.Accelerators), "-memory", strconv.Itoa(o.MemoryMiB),
		"-slots", strconv.Itoa(o.Slots), "-step", o.Step.String(), "-prefill", formatFloat(o.PrefillTokensPerSecond),
		"-weights", s.WeightsURL, "-checks-orders="+strconv.FormatBool(!o.SkipFenceCheck))
	if err != nil {
		return err
	}
	b := &Backend{Server: p, URL: url, startServer: startAgain}
	return s.addBackend(ctx, b, fmt.Sprintf("worker-%d", i), s.hallOf(i), func(a *config.Agent) {
		a.Backend.Kind = config.BackendEngine
	})
}

func (s *System) startService(ctx context.Context, i int) error {
	name := fmt.Sprintf("service-%d", i)
	p, url, startAgain, err := s.startStandin(ctx, name, "service", "-delay", s.opts.ServiceDelay.String())
	if err != nil {
		return err
	}
	b := &Backend{Server: p, URL: url, startServer: startAgain, Service: true}
	return s.addBackend(ctx, b, name, s.hallOf(i), func(a *config.Agent) {
		a.Backend.Kind, a.Backend.Services = config.BackendService, s.opts.ServiceRows
	})
}

// Stop kills every process that the system started and waits until all have exited.
func (s *System) Stop() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.Thaw()
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
}

// RunningProcesses returns the names of the processes that have not exited.
func (s *System) RunningProcesses() []string {
	var names []string
	for _, p := range s.processes {
		if !p.Exited() {
			names = append(names, p.Name)
		}
	}
	return names
}

// TempDir creates a temporary folder for programs, settings and logs. The caller removes it.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "rockcleat-lab-")
	return dir, eris.Wrap(err, "lab: create temporary folder")
}
