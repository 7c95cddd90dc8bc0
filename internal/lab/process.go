package lab

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// A Process is one process that the lab has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// done is closed at the end, after err has been set.
	done chan struct{}
	err  error
}

// StartProcess starts a program whose output goes to a file in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "lab: open log")
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A lab that dies takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "lab: start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop in order.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process's end and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
	case <-ctx.Done():
		return -1, eris.Wrapf(ctx.Err(), "lab: wait for %s", p.Name)
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, p.err
}

// Ports of the lab's processes lie below those that the system gives to outgoing connections,
// which could otherwise take one before its process listens.
const (
	// firstPort is the first of the ports, portCount their number.
	firstPort = 10000
	portCount = 20000
	// portStep is how far apart labs whose process ids follow each other begin to search.
	portStep = 997
)

// nextPort is where the search for a free port goes on; labs of different
// processes start in different places.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStep) }

// FreeAddr returns a loopback address whose port is free now and that no other
// call in this process returns soon.
func FreeAddr() (string, error) {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		addr := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, eris.Wrap(l.Close(), "lab: find a free port")
	}
	return "", eris.New("lab: no free port")
}

// pollEvery is the time between two looks at a condition.
const pollEvery = 10 * time.Millisecond

// WaitUntil waits until the condition holds or ctx ends.
func WaitUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "lab: waiting until %s", what)
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// answers reports whether a GET of the URL gets status 200.
func answers(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listens reports whether something listens on the address.
func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Build builds the programs into dir.
func Build(ctx context.Context, root, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "./cmd/...")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "lab: build: %s", out)
}
