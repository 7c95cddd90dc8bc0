package telemetry

import (
	"log"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// TestStdLogIsBounded checks that a flood of lines from libraries is limited, and that the lines left out are counted.
func TestStdLogIsBounded(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	defer RedirectStdLog(zap.New(core))()
	for range 1000 {
		log.Print("unsolicited response")
	}
	n := lines.Len()
	assert.Assert(t, n >= stdLogBurst && n <= stdLogBurst+stdLogRate, "%d lines", n)
	assert.Equal(t, lines.All()[0].Message, "unsolicited response")
	log.Writer().(*stdLogWriter).limiter.SetLimit(1e9)
	log.Print("unsolicited response")
	last := lines.All()[lines.Len()-1].ContextMap()
	assert.Equal(t, last[fieldLeftOut], uint64(1000-n))
}
