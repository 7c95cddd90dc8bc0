package lab

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/config"
	"rockcleat/internal/inventory"
)

// setProcessConfig sets the settings that all daemons share, with free addresses.
func (s *System) setProcessConfig(p *config.Process, id, hall string) error {
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

// addBackend starts the agent of a backend server and adds its VM to the platform's list.
func (s *System) addBackend(ctx context.Context, b *Backend, id, hall string, configure func(*config.Agent)) error {
	var a config.Agent
	config.SetDefaults(&a)
	if err := s.setProcessConfig(&a.Process, id, hall); err != nil {
		return err
	}
	a.Backend.URL, a.VMs = b.URL, s.VMsURL
	configure(&a)
	if s.opts.Agent != nil {
		s.opts.Agent(&a)
	}
	n := &Node{ID: id, Hall: hall, Addr: a.Listen, Control: a.ControlListen, program: "rockcleat-agent"}
	n.configPath = filepath.Join(s.opts.Dir, id+".yaml")
	if err := config.Write(n.configPath, &a); err != nil {
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

// AddEntry starts another entry and adds its VM to the platform's list.
func (s *System) AddEntry(ctx context.Context) (*Node, error) {
	i := len(s.Entries)
	var e config.Entry
	config.SetDefaults(&e)
	id := fmt.Sprintf("entry-%d", i)
	if err := s.setProcessConfig(&e.Process, id, s.hallOf(i)); err != nil {
		return nil, err
	}
	if s.opts.EntryPort > 0 && i == 0 {
		e.Listen = fmt.Sprintf("127.0.0.1:%d", s.opts.EntryPort)
		e.ControlListen = fmt.Sprintf("127.0.0.1:%d", s.opts.EntryPort+1)
	}
	e.VMs, e.Weights = s.VMsURL, s.WeightsURL
	e.Planner.ExchangeInterval = config.Duration(time.Second)
	e.Planner.LeaseTTL = config.Duration(3 * time.Second)
	e.Claims.LeaseTTL = config.Duration(3 * time.Second)
	e.Planner.MaxLoads, e.Planner.LoadsPerSecond = max(s.opts.FullSpeedLoads, 1), max(s.opts.LoadsPerSecond, 1)
	if s.opts.Entry != nil {
		s.opts.Entry(&e)
	}
	n := &Node{ID: id, Hall: e.Hall, Addr: e.Listen, Control: e.ControlListen, program: "rockcleat-entry"}
	n.configPath = filepath.Join(s.opts.Dir, id+".yaml")
	if err := config.Write(n.configPath, &e); err != nil {
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

// StartNode starts or restarts a daemon and waits until its control address accepts
// connections. A previous process of the node must have exited.
func (s *System) StartNode(ctx context.Context, n *Node) error {
	p, err := StartProcess(s.opts.Dir, n.ID, filepath.Join(s.opts.Bin, n.program), "-config", n.configPath)
	if err != nil {
		return err
	}
	n.Process = p
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = WaitUntil(ctx, n.ID+" listens", func() bool { return p.Exited() || acceptsConnections(n.Control) })
	if err == nil && p.Exited() {
		return eris.Errorf("lab: %s exited during startup; see %s", n.ID, filepath.Join(s.opts.Dir, n.ID+".log"))
	}
	return err
}

// SecondAgent starts another agent for the same backend server, with the same settings but its
// own addresses, as when a VM that was considered dead returns.
func (s *System) SecondAgent(ctx context.Context, b *Backend) (*Node, error) {
	var a config.Agent
	if err := config.Read(b.Agent.configPath, &a); err != nil {
		return nil, err
	}
	if err := s.setProcessConfig(&a.Process, a.ID, a.Hall); err != nil {
		return nil, err
	}
	n := &Node{ID: a.ID, Hall: a.Hall, Addr: a.Listen, Control: a.ControlListen, program: "rockcleat-agent"}
	n.configPath = filepath.Join(s.opts.Dir, a.ID+"-second.yaml")
	if err := config.Write(n.configPath, &a); err != nil {
		return nil, err
	}
	return n, s.StartNode(ctx, n)
}

// RestartServer restarts a backend server that has exited. Nothing is resident on the new one.
func (s *System) RestartServer(b *Backend) error {
	p, err := b.startServer()
	b.Server = p
	return err
}

// SetVM sets a node's VM in the platform's list.
func (s *System) SetVM(ctx context.Context, n *Node, role inventory.Role, state inventory.VMState) error {
	return s.PutVM(ctx, inventory.VM{ID: n.ID, Role: role, Hall: n.Hall, Addr: n.Addr, Control: n.Control, State: state})
}

// PutVM sets a VM in the platform's list. Its addresses may differ from those of the node, for
// example to route traffic through a proxy.
func (s *System) PutVM(ctx context.Context, vm inventory.VM) error {
	return sendJSON(ctx, http.MethodPost, s.VMsURL+"/v1/vms", inventory.VMList{VMs: []inventory.VM{vm}}, nil)
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
