package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds the channels of the signals that a process handles.
type signals struct {
	// stop requests a graceful shutdown. reload requests that the settings be read again; it is nil if
	// the process does not support that.
	stop, reload chan os.Signal
}

// notifySignals registers handlers for the signals that stop a process and, if withReload is set, for the
// one that reloads its settings. It must be called before anything else: a stop signal that arrives
// earlier kills the process without a graceful shutdown.
func notifySignals(withReload bool) signals {
	s := signals{stop: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	if withReload {
		s.reload = make(chan os.Signal, 1)
		signal.Notify(s.reload, syscall.SIGHUP)
	}
	return s
}

// stopNotify unregisters the signal handlers.
func (s signals) stopNotify() {
	signal.Stop(s.stop)
	if s.reload != nil {
		signal.Stop(s.reload)
	}
}
