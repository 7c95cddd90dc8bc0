package gateway

import (
	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
)

// streamResumed counts and logs a stream that a caller resumes, and how its origin was found. The lines are rate-limited.
func (l *requestLog) streamResumed(in *inbound, s *resumedStream) {
	l.metrics.StreamResumed(string(s.origin.source))
	suppressed, ok := l.resumed.allow(l.clock.Now())
	if !ok {
		return
	}
	l.log.Info(msgStreamResumed, zap.String(fieldRequest, in.id), zap.String(fieldResumes, s.attempt),
		headerField(in, fieldLastEvent, headerLastEvent), zap.String(fieldOrigin, string(s.origin.source)),
		zap.String(fieldService, s.origin.Service), zap.String(fieldVersion, s.origin.Version), zap.Float64(fieldAge, s.origin.age.Seconds()),
		zap.Strings(fieldGateways, s.origin.asked), zap.Int(fieldAnswered, s.origin.answered),
		zap.Float64(fieldListAge, s.origin.listAge.Seconds()), suppressed)
}

// originsNotSent counts and logs records of streams that could not be sent to another gateway. The lines are
// rate-limited.
func (l *requestLog) originsNotSent(gateway string, records int, err error) {
	l.metrics.OriginsNotSent(records)
	if suppressed, ok := l.notSent.allow(l.clock.Now()); ok {
		l.log.Warn(msgOriginsNotSent, zap.String("gateway", gateway), zap.Int(fieldCount, records), telemetry.Error(err), suppressed)
	}
}
