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

// Secret is the shared secret of a lab's processes.
const Secret = "lab-secret-0123456789"

// An EngineOptions describes the engines of a lab.
type EngineOptions struct {
	Accelerators int
	// MemoryMiB is the memory of each accelerator, Slots the number of sequences that it batches.
	MemoryMiB int
	Slots     int
	// Step is the time of a decoding step, PrefillTokensPerSecond the number of prompt tokens read a second.
	Step                   time.Duration
	PrefillTokensPerSecond float64
	// SkipFenceCheck makes the engine take orders of any fencing token.
	SkipFenceCheck bool
}

// Options describe a lab.
type Options struct {
	// Bin is the folder of the built programs, Dir the one for settings and logs.
	Bin, Dir string
	Halls    []string
	Entries  int
	Engines  int
	Services int
	Engine   EngineOptions
	// ServiceRows are the table rows that the plain services answer.
	ServiceRows []string
	Rows        []table.Row
	Sizes       map[string]placement.Size
	// VMLag is how late the list of VMs is.
	VMLag time.Duration
	// KVReadsPerSecond and KVWritesPerSecond are the key-value service's rates; 0 is no limit.
	KVReadsPerSecond, KVWritesPerSecond float64
	// LoadsPerSecond, FullSpeedLoads and LoadMiBPerSecond are the weight store's; see standin.WeightStoreOptions.
	LoadsPerSecond   float64
	FullSpeedLoads   int
	LoadMiBPerSecond float64
	// ServiceDelay is the time of a plain service's call.
	ServiceDelay time.Duration
	// Entry and Agent change the settings of each process, if not nil.
	Entry func(*config.Entry)
	Agent func(*config.Agent)
	// EntryPort is the first entry's port for callers, the next one is for control;
	// 0 takes free ones.
	EntryPort int
}

// A Node is one daemon of a lab.
type Node struct {
	*Process
	ID   string
	Hall string
	// Addr is the address for requests, Control the one for control.
	Addr    string
	Control string
	// config is the settings file, program the name of what runs.
	config  string
	program string
}

// A Backend is a backend server with the agent beside it.
type Backend struct {
	Agent  *Node
	Server *Process
	URL    string
	// start starts the server anew at the same address.
	start func() (*Process, error)
	// Service says that it is a plain service.
	Service bool
}

// A System is a running lab.
type System struct {
	opts Options
	// KVURL, VMsURL and WeightsURL are the stand-ins for the key-value service, the list of VMs and
	// the weight store.
	KVURL      string
	VMsURL     string
	WeightsURL string

	mu       sync.Mutex
	Entries  []*Node
	Backends []*Backend
	// all holds every process ever started.
	all []*Process
}

// startTime bounds the start of one process.
const startTime = 30 * time.Second

// Start starts a lab and waits until its entries are ready and every row has a place.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{opts: o}
	if err := s.startAll(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// startAll starts the platform's stand-ins, then backend servers, then entries, and saves the rows.
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
		if err := WaitUntil(ctx, e.ID+" is ready", func() bool { return answers("http://" + e.Control + wire.PathReady) }); err != nil {
			return err
		}
	}
	return s.AwaitRowsReady(ctx)
}

// run starts a stand-in on a free address and waits until it listens.
func (s *System) run(ctx context.Context, name string, args ...string) (*Process, string, func() (*Process, error), error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, "", nil, err
	}
	again := func() (*Process, error) {
		all := append(append([]string{}, args...), "-listen", addr)
		p, err := StartProcess(s.opts.Dir, name, filepath.Join(s.opts.Bin, "rockcleat-standin"), all...)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.all = append(s.all, p)
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, startTime)
		defer cancel()
		return p, WaitUntil(ctx, name+" listens", func() bool { return listens(addr) })
	}
	p, err := again()
	return p, "http://" + addr, again, err
}

// float formats a flag's value.
func float(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// startPlatform starts the stand-ins for the platform's services.
func (s *System) startPlatform(ctx context.Context) (err error) {
	o := s.opts
	if _, s.KVURL, _, err = s.run(ctx, "kv", "kv", "-reads", float(o.KVReadsPerSecond), "-writes", float(o.KVWritesPerSecond)); err != nil {
		return err
	}
	if _, s.VMsURL, _, err = s.run(ctx, "vms", "vms", "-lag", o.VMLag.String()); err != nil {
		return err
	}
	_, s.WeightsURL, _, err = s.run(ctx, "weights", "weights", "-loads", float(o.LoadsPerSecond),
		"-full-speed", strconv.Itoa(o.FullSpeedLoads), "-speed", float(o.LoadMiBPerSecond))
	if err != nil {
		return err
	}
	return send(ctx, http.MethodPut, s.WeightsURL+"/v1/weights", inventory.Catalogue{Sizes: o.Sizes}, nil)
}

// hall returns the data hall of the i-th VM of a kind.
func (s *System) hall(i int) string { return s.opts.Halls[i%len(s.opts.Halls)] }

// startEngine starts an engine and its agent.
func (s *System) startEngine(ctx context.Context, i int) error {
	o := s.opts.Engine
	name := fmt.Sprintf("engine-%d", i)
	p, url, again, err := s.run(ctx, name, "engine",
		"-accelerators", strconv.Itoa(o.Accelerators), "-memory", strconv.Itoa(o.MemoryMiB),
		"-slots", strconv.Itoa(o.Slots), "-step", o.Step.String(), "-prefill", float(o.PrefillTokensPerSecond),
		"-weights", s.WeightsURL, "-checks-orders="+strconv.FormatBool(!o.SkipFenceCheck))
	if err != nil {
		return err
	}
	b := &Backend{Server: p, URL: url, start: again}
	return s.addBackend(ctx, b, fmt.Sprintf("worker-%d", i), s.hall(i), func(a *config.Agent) {
		a.Backend.Kind = config.BackendEngine
	})
}

// startService starts a plain service and its agent.
func (s *System) startService(ctx context.Context, i int) error {
	name := fmt.Sprintf("service-%d", i)
	p, url, again, err := s.run(ctx, name, "service", "-delay", s.opts.ServiceDelay.String())
	if err != nil {
		return err
	}
	b := &Backend{Server: p, URL: url, start: again, Service: true}
	return s.addBackend(ctx, b, name, s.hall(i), func(a *config.Agent) {
		a.Backend.Kind, a.Backend.Services = config.BackendService, s.opts.ServiceRows
	})
}

// Stop ends every process that the lab has started and waits for their ends.
func (s *System) Stop() {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	for _, p := range all {
		p.Thaw()
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.done
	}
}

// RunningProcesses returns the names of processes that have not ended.
func (s *System) RunningProcesses() []string {
	var names []string
	for _, p := range s.all {
		if !p.Exited() {
			names = append(names, p.Name)
		}
	}
	return names
}

// TempDir returns a new folder for programs, settings and logs.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "rockcleat-lab-")
	return dir, eris.Wrap(err, "lab: make folder")
}
