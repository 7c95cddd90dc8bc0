package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// A signals holds the signals that a process answers.
type signals struct {
	// stop ends the process in order; reload makes it read its settings again, and is nil in
	// one that does not.
	stop, reload chan os.Signal
}

// takeSignals takes over the signals that stop a process, and if it reloads its settings the one
// for that. It comes before everything else: a stop that comes before it ends the process by the
// signal, as if it had crashed, and what it has written by then may be lost. A process that was
// stopped 2 ms after its launch ended so, when settings and metrics came first.
func takeSignals(reloads bool) signals {
	s := signals{stop: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	if reloads {
		s.reload = make(chan os.Signal, 1)
		signal.Notify(s.reload, syscall.SIGHUP)
	}
	return s
}

// release gives the signals back.
func (s signals) release() {
	signal.Stop(s.stop)
	if s.reload != nil {
		signal.Stop(s.reload)
	}
}
