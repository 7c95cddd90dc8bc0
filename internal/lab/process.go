package lab

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// A Process is a process that the lab started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// done is closed when the process has exited, after err is set.
	done chan struct{}
	err  error
}

// StartProcess starts a program and appends its output to the file name.log in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "lab: open log file")
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when its parent dies.
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

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal and ignores errors, such as that the process has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a suspended process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully and does not wait.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits until the process has exited and returns its exit code, -1 if a signal ended it.
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

// pollInterval is the interval between two evaluations of a condition.
const pollInterval = 10 * time.Millisecond

// WaitUntil polls ok until it returns true or ctx ends. what describes the condition in the error.
func WaitUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "lab: waiting until %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// respondsOK reports whether a GET of url returns status 200.
func respondsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// acceptsConnections reports whether addr accepts TCP connections.
func acceptsConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Build builds the commands of the module at root into dir.
func Build(ctx context.Context, root, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "./cmd/...")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "lab: go build failed: %s", out)
}
