package gateway

import (
	"net/http"

	"go.uber.org/zap"
)

// States of a shortage of processor time, as used in log lines.
const (
	processorBegan     = "began"
	processorContinues = "continues"
	processorEnded     = "ended"
)

// processorShort logs that requests are refused because processor time is short. The lines are rate-limited.
func (l *requestLog) processorShort(state string, fields ...zap.Field) {
	if suppressed, ok := l.processor.allow(l.clock.Now()); ok {
		l.log.Warn(msgProcessorShort, append(fields, zap.String(fieldState, state), suppressed)...)
	}
}

// processorRefused counts and logs a request that was refused because processor time is short. The lines are rate-limited.
func (l *requestLog) processorRefused(r *http.Request, refused *refusal) {
	l.metrics.ProcessorRefused()
	if suppressed, ok := l.processorRefusals.allow(l.clock.Now()); ok {
		l.log.Info(msgRequestRefused, l.refusalFields(r, refused, suppressed)...)
	}
}
