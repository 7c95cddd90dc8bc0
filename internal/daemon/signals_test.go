package daemon_test

import (
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/config"
	"rockcleat/internal/daemon"
	"rockcleat/internal/gateway"
	"rockcleat/internal/wire"
	"rockcleat/kv/kvtest"
	"rockcleat/platform"
)

// exitTimeout bounds the wait for a daemon to exit.
const exitTimeout = 10 * time.Second

// TestStopWhileSettingsAreRead checks that a stop signal during the start leads to a graceful
// shutdown. The settings come from a named pipe, so that the signal arrives while they are read.
func TestStopWhileSettingsAreRead(t *testing.T) {
	// The signal must not terminate the test process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	code := make(chan int, 1)
	go func() { code <- daemon.Gateway([]string{"-config", file}, io.Discard, buildGateway) }()

	// OpenFile blocks until the daemon opens the pipe for reading.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signals
	_, err = settings.Write(minimalSettings(t))
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	select {
	case got := <-code:
		assert.Equal(t, got, daemon.ExitOK)
	case <-time.After(exitTimeout):
		t.Fatal("daemon did not exit after SIGTERM")
	}
}

// buildGateway returns a gateway with an empty store.
func buildGateway(s config.Gateway, log *zap.Logger) (*gateway.Gateway, error) {
	store := kvtest.New(clocktest.Real{})
	return gateway.New(gateway.Options{
		Settings: s, Names: wire.HeaderNames{}, ReadyPath: "/ready", Store: store, AllKeys: store, ProductKeys: store,
		Decoder: platform.Decoder{}, Clock: clocktest.Real{}, Log: log,
	}), nil
}

// minimalSettings returns settings with free loopback addresses.
func minimalSettings(t *testing.T) []byte {
	text := "id: g\nhall: h\nstore: 127.0.0.1:1\n"
	for _, key := range []string{"listen", "ready_listen", "peer_listen"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		text += key + ": " + l.Addr().String() + "\n"
	}
	return []byte(text)
}
