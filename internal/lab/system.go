package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// Secret is the shared secret of a lab's processes.
const Secret = "lab-secret-0123456789"

// An EngineSpec describes the engines of a lab.
type EngineSpec struct {
	Accelerators int
	MemoryMiB    int
	Slots        int
	Step         time.Duration
	Prefill      float64
	NoFence      bool
}

// Options describe a lab.
type Options struct {
	// Bin is the folder of the built programs, Dir the one for settings and logs.
	Bin, Dir string
	Halls    []string
	Entries  int
	Engines  int
	Services int
	Engine   EngineSpec
	// ServiceRows are the table rows that the plain services answer.
	ServiceRows []string
	Rows        []table.Row
	Sizes       map[string]placement.Size
	// VMLag is how late the list of VMs is.
	VMLag time.Duration
	// KVReads and KVWrites are the key-value service's rates; 0 is no limit.
	KVReads, KVWrites float64
	// Loads, FullSpeed and LoadSpeed are the weight store's; see standin.WeightsOptions.
	Loads     float64
	FullSpeed int
	LoadSpeed float64
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
	ID      string
	Hall    string
	Addr    string
	Control string
	config  string
	program string
}

// A Backend is a backend server with the agent beside it.
type Backend struct {
	Agent   *Node
	Server  *Process
	URL     string
	start   func() (*Process, error)
	Service bool
}

// A System is a running lab.
type System struct {
	opts    Options
	KV      *Process
	VMs     *Process
	Weights *Process
	KVURL   string
	VMsURL  string
	WURL    string

	mu       sync.Mutex
	Entries  []*Node
	Backends []*Backend
	all      []*Process
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
	if _, err := s.Save(ctx, table.Diff(nil, s.opts.Rows, false)); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := Until(ctx, e.ID+" is ready", func() bool { return answers("http://" + e.Control + wire.PathReady) }); err != nil {
			return err
		}
	}
	return s.AwaitPlaced(ctx)
}

// run starts a stand-in on a free address and waits until it listens.
func (s *System) run(ctx context.Context, name string, args ...string) (*Process, string, func() (*Process, error), error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, "", nil, err
	}
	again := func() (*Process, error) {
		all := append(append([]string{}, args...), "-listen", addr)
		p, err := Launch(s.opts.Dir, name, filepath.Join(s.opts.Bin, "rockcleat-standin"), all...)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.all = append(s.all, p)
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, startTime)
		defer cancel()
		return p, Until(ctx, name+" listens", func() bool { return listens(addr) })
	}
	p, err := again()
	return p, "http://" + addr, again, err
}

func float(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (s *System) startPlatform(ctx context.Context) (err error) {
	o := s.opts
	if s.KV, s.KVURL, _, err = s.run(ctx, "kv", "kv", "-reads", float(o.KVReads), "-writes", float(o.KVWrites)); err != nil {
		return err
	}
	if s.VMs, s.VMsURL, _, err = s.run(ctx, "vms", "vms", "-lag", o.VMLag.String()); err != nil {
		return err
	}
	s.Weights, s.WURL, _, err = s.run(ctx, "weights", "weights", "-loads", float(o.Loads),
		"-full-speed", strconv.Itoa(o.FullSpeed), "-speed", float(o.LoadSpeed))
	if err != nil {
		return err
	}
	return send(ctx, http.MethodPut, s.WURL+"/v1/weights", inventory.Catalogue{Sizes: o.Sizes}, nil)
}

func (s *System) hall(i int) string { return s.opts.Halls[i%len(s.opts.Halls)] }

func (s *System) startEngine(ctx context.Context, i int) error {
	o := s.opts.Engine
	name := fmt.Sprintf("engine-%d", i)
	p, url, again, err := s.run(ctx, name, "engine",
		"-accelerators", strconv.Itoa(o.Accelerators), "-memory", strconv.Itoa(o.MemoryMiB),
		"-slots", strconv.Itoa(o.Slots), "-step", o.Step.String(), "-prefill", float(o.Prefill),
		"-weights", s.WURL, "-checks-orders="+strconv.FormatBool(!o.NoFence))
	if err != nil {
		return err
	}
	b := &Backend{Server: p, URL: url, start: again}
	return s.addBackend(ctx, b, fmt.Sprintf("worker-%d", i), s.hall(i), func(a *config.Agent) {
		a.Backend.Kind = config.BackendEngine
	})
}

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

func (s *System) process(p *config.Process, id, hall string) error {
	var err error
	if p.Listen, err = FreeAddr(); err != nil {
		return err
	}
	if p.ControlListen, err = FreeAddr(); err != nil {
		return err
	}
	p.ID, p.Hall, p.Secret, p.KV = id, hall, Secret, s.KVURL
	p.Log.Level = "debug"
	return nil
}

func (s *System) addBackend(ctx context.Context, b *Backend, id, hall string, set func(*config.Agent)) error {
	var a config.Agent
	config.Defaults(&a)
	if err := s.process(&a.Process, id, hall); err != nil {
		return err
	}
	a.Backend.URL, a.VMs = b.URL, s.VMsURL
	set(&a)
	if s.opts.Agent != nil {
		s.opts.Agent(&a)
	}
	n := &Node{ID: id, Hall: hall, Addr: a.Listen, Control: a.ControlListen, program: "rockcleat-agent"}
	n.config = filepath.Join(s.opts.Dir, id+".yaml")
	if err := config.Write(n.config, &a); err != nil {
		return err
	}
	b.Agent = n
	s.mu.Lock()
	s.Backends = append(s.Backends, b)
	s.mu.Unlock()
	if err := s.StartNode(ctx, n); err != nil {
		return err
	}
	return s.SetVM(ctx, n, inventory.RoleBackend, inventory.VMLive)
}

// AddEntry starts one more entry and puts it into the list of VMs.
func (s *System) AddEntry(ctx context.Context) (*Node, error) {
	i := len(s.Entries)
	var e config.Entry
	config.Defaults(&e)
	id := fmt.Sprintf("entry-%d", i)
	if err := s.process(&e.Process, id, s.hall(i)); err != nil {
		return nil, err
	}
	if s.opts.EntryPort > 0 && i == 0 {
		e.Listen = fmt.Sprintf("127.0.0.1:%d", s.opts.EntryPort)
		e.ControlListen = fmt.Sprintf("127.0.0.1:%d", s.opts.EntryPort+1)
	}
	e.VMs, e.Weights = s.VMsURL, s.WURL
	e.Planner.ExchangeEvery = config.Duration(time.Second)
	e.Planner.LeaseTTL = config.Duration(3 * time.Second)
	e.Claims.LeaseTTL = config.Duration(3 * time.Second)
	e.Planner.MaxLoads, e.Planner.LoadsPerSecond = max(s.opts.FullSpeed, 1), max(s.opts.Loads, 1)
	if s.opts.Entry != nil {
		s.opts.Entry(&e)
	}
	n := &Node{ID: id, Hall: e.Hall, Addr: e.Listen, Control: e.ControlListen, program: "rockcleat-entry"}
	n.config = filepath.Join(s.opts.Dir, id+".yaml")
	if err := config.Write(n.config, &e); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.Entries = append(s.Entries, n)
	s.mu.Unlock()
	if err := s.SetVM(ctx, n, inventory.RoleEntry, inventory.VMLive); err != nil {
		return nil, err
	}
	return n, s.StartNode(ctx, n)
}

// StartNode starts a daemon, anew if it has ended.
func (s *System) StartNode(ctx context.Context, n *Node) error {
	p, err := Launch(s.opts.Dir, n.ID, filepath.Join(s.opts.Bin, n.program), "-config", n.config)
	if err != nil {
		return err
	}
	n.Process = p
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	err = Until(ctx, n.ID+" listens", func() bool { return p.Exited() || listens(n.Control) })
	if err == nil && p.Exited() {
		return eris.Errorf("lab: %s ended at its start; see %s", n.ID, filepath.Join(s.opts.Dir, n.ID+".log"))
	}
	return err
}

// SecondAgent starts another agent with the same settings but addresses of its
// own, as when a VM that was thought dead comes back.
func (s *System) SecondAgent(ctx context.Context, b *Backend) (*Node, error) {
	var a config.Agent
	if err := config.Read(b.Agent.config, &a); err != nil {
		return nil, err
	}
	if err := s.process(&a.Process, a.ID, a.Hall); err != nil {
		return nil, err
	}
	n := &Node{ID: a.ID, Hall: a.Hall, Addr: a.Listen, Control: a.ControlListen, program: "rockcleat-agent"}
	n.config = filepath.Join(s.opts.Dir, a.ID+"-second.yaml")
	if err := config.Write(n.config, &a); err != nil {
		return nil, err
	}
	return n, s.StartNode(ctx, n)
}

// RestartServer starts a backend server anew after it was killed, with nothing resident.
func (s *System) RestartServer(b *Backend) error {
	p, err := b.start()
	b.Server = p
	return err
}

// SetVM changes a VM in the platform's list.
func (s *System) SetVM(ctx context.Context, n *Node, role inventory.Role, state inventory.VMState) error {
	return s.SetVMAt(ctx, n, role, state, n.Addr, n.Control)
}

// SetVMAt changes a VM in the platform's list and gives it other addresses, such
// as those of proxies.
func (s *System) SetVMAt(ctx context.Context, n *Node, role inventory.Role, state inventory.VMState, addr, control string) error {
	vm := inventory.VM{ID: n.ID, Role: role, Hall: n.Hall, Addr: addr, Control: control, State: state}
	return send(ctx, http.MethodPost, s.VMsURL+"/v1/vms", inventory.VMList{VMs: []inventory.VM{vm}}, nil)
}

// Fault gives faults to a stand-in.
func Fault(ctx context.Context, url string, f standin.Faults) error {
	return send(ctx, http.MethodPut, url+standin.PathFault, f, nil)
}

// Fetch reads JSON from a stand-in.
func Fetch(ctx context.Context, url string, out any) error {
	return send(ctx, http.MethodGet, url, nil, out)
}

// send sends JSON and decodes the answer.
func send(ctx context.Context, method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return eris.Wrap(err, "lab: encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return eris.Wrap(err, "lab: make request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "lab: send")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("lab: %s %s: status %d", method, url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "lab: decode")
}

// Client returns a client for the processes' control interfaces.
func Client() *wire.Client { return wire.NewClient(Secret, &wire.Traffic{}) }

// Save saves changes as one edit through the first live entry.
func (s *System) Save(ctx context.Context, changes []table.Change) (uint64, error) {
	e := table.Edit{ID: uuid.NewString(), Author: "lab", Time: time.Now().Unix(), Changes: changes}
	return s.SaveEdit(ctx, s.Entries[0], e)
}

// SaveEdit saves an edit through an entry.
func (s *System) SaveEdit(ctx context.Context, n *Node, e table.Edit) (uint64, error) {
	var a wire.SaveAnswer
	err := Client().Call(ctx, http.MethodPost, n.Control, wire.PathTable, wire.SaveRequest{Edit: e}, &a)
	return a.Version, err
}

// Status returns an entry's status, with the table version of each VM if asked.
func (s *System) Status(ctx context.Context, n *Node, versions bool) (wire.StatusAnswer, error) {
	path := wire.PathStatus
	if versions {
		path += "?versions=1"
	}
	var a wire.StatusAnswer
	err := Client().Call(ctx, http.MethodGet, n.Control, path, nil, &a)
	return a, err
}

// AwaitPlaced waits until every entry knows a place for every row.
func (s *System) AwaitPlaced(ctx context.Context) error {
	for _, e := range s.Entries {
		if e.Exited() {
			continue
		}
		if err := Until(ctx, "every row has a place in the eyes of "+e.ID, func() bool { return s.placed(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) placed(ctx context.Context, e *Node) bool {
	st, err := s.Status(ctx, e, false)
	if err != nil {
		return false
	}
	ready := make(map[string]bool)
	for _, srv := range st.Servers {
		for _, r := range srv.Residents {
			if r.State == "ready" && !srv.Leaving {
				ready[r.Name] = true
			}
		}
		for _, n := range srv.Services {
			ready[n] = true
		}
	}
	for _, r := range s.opts.Rows {
		if !ready[r.Name] {
			return false
		}
	}
	return true
}

// AwaitVersion waits until every VM that answers has the table version in force.
func (s *System) AwaitVersion(ctx context.Context, version uint64) error {
	return Until(ctx, fmt.Sprintf("version %d is in force on every VM", version), func() bool {
		return s.inForce(ctx, version)
	})
}

func (s *System) inForce(ctx context.Context, version uint64) bool {
	for _, n := range s.nodes() {
		var v wire.VersionAnswer
		if n.Exited() {
			continue
		}
		if err := Client().Call(ctx, http.MethodGet, n.Control, wire.PathStatus, nil, &v); err != nil || v.TableVersion < version {
			return false
		}
	}
	return true
}

func (s *System) nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := append([]*Node{}, s.Entries...)
	for _, b := range s.Backends {
		nodes = append(nodes, b.Agent)
	}
	return nodes
}

// Stop ends every process that the lab has started and waits for their ends.
func (s *System) Stop() {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	for _, p := range all {
		p.Thaw()
		p.Signal(9)
	}
	for _, p := range all {
		<-p.done
	}
}

// Left returns the names of processes that have not ended.
func (s *System) Left() []string {
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
