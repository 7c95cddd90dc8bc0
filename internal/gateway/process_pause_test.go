package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

func TestPauseIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	p := pauseDetector{log: zap.New(core), inProgress: func() int64 { return 0 }}
	start := time.Now()
	for _, at := range []time.Duration{0, 500 * time.Millisecond, time.Second, 6 * time.Second, 6500 * time.Millisecond} {
		p.check(start.Add(at))
	}
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, logs.All()[0].ContextMap()["for"], 5*time.Second)
}
