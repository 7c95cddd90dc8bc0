package telemetry

import (
	"bytes"
	"log"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Limits of lines from the standard logger: lines per second, and lines at once. What servers send decides how many
// net/http writes.
const (
	stdLogRate  = 5
	stdLogBurst = 20
)

// fieldLeftOut is the log field with the number of lines that were left out before a line.
const fieldLeftOut = "left_out"

// RedirectStdLog writes the lines of the standard logger to l, rate-limited, and returns a function that ends that.
func RedirectStdLog(l *zap.Logger) (restore func()) {
	flags, prefix, out := log.Flags(), log.Prefix(), log.Writer()
	log.SetFlags(0)
	log.SetPrefix("")
	log.SetOutput(&stdLogWriter{log: l, limiter: rate.NewLimiter(stdLogRate, stdLogBurst)})
	return func() {
		log.SetFlags(flags)
		log.SetPrefix(prefix)
		log.SetOutput(out)
	}
}

// A stdLogWriter writes each line that it gets to a log, unless there are too many.
type stdLogWriter struct {
	log     *zap.Logger
	limiter *rate.Limiter
	leftOut atomic.Uint64
}

// Write implements io.Writer.
func (w *stdLogWriter) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(time.Now(), 1) {
		w.leftOut.Add(1)
		return len(line), nil
	}
	leftOut := zap.Skip()
	if n := w.leftOut.Swap(0); n > 0 {
		leftOut = zap.Uint64(fieldLeftOut, n)
	}
	w.log.Info(string(bytes.TrimSpace(line)), leftOut)
	return len(line), nil
}
