package gateway

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/departure"
	"rockcleat/serverlimit"
)

// States of a server's pause, as used in log lines and metrics.
const (
	pauseBegan    = "began"
	pauseExtended = "extended"
	pauseEnded    = "ended"
)

// malformedAnnouncement logs a malformed header in a server's response. The lines are rate-limited.
func (l *requestLog) malformedAnnouncement(server, header string, values []string) {
	if l.malformed.AllowN(l.clock.Now(), 1) {
		l.log.Info(msgMalformedHeader, zap.String(fieldServer, server), zap.String("header", header), zap.Strings("value", values))
	}
}

// serverLimitChanged counts and logs a change of a server's rate limit. The lines are rate-limited.
func (l *requestLog) serverLimitChanged(c serverlimit.Change) {
	l.metrics.ServerLimitChanged(string(c.Kind))
	suppressed, ok := l.serverLimit.allow(l.clock.Now())
	if !ok {
		return
	}
	l.log.Info(msgServerLimit, zap.String(fieldServer, c.Server), zap.String(fieldState, string(c.Kind)),
		zap.Float64(fieldPerSecond, c.PerSecond), zap.String(fieldOrigin, string(c.Origin)), zap.Float64(fieldAge, c.Age.Seconds()), suppressed)
}

// serverLeaving logs that a response to this gateway announced that its server is leaving.
func (l *requestLog) serverLeaving(r responseHead) {
	l.departure(departure.Announcement{Server: r.server, Origin: departure.OriginLocal},
		zap.String(fieldRequest, r.request), zap.Int(fieldStatus, r.status))
}

// departure counts and logs that a server announced that it is leaving. The lines are rate-limited.
func (l *requestLog) departure(a departure.Announcement, fields ...zap.Field) {
	l.metrics.ServerDeparture(string(a.Origin))
	suppressed, ok := l.serverLeave.allow(l.clock.Now())
	if !ok {
		return
	}
	fields = append(fields, zap.String(fieldServer, a.Server), zap.String(fieldOrigin, string(a.Origin)),
		zap.Float64(fieldAge, a.Age.Seconds()), suppressed)
	l.log.Info(msgServerLeaving, fields...)
}

// serverPaused counts and logs that a server accepts no requests for a time. The lines are rate-limited; one is written for
// the beginning of a pause and each extension.
func (l *requestLog) serverPaused(r responseHead, period, remaining time.Duration, began bool) {
	state := pauseExtended
	if began {
		state = pauseBegan
	}
	l.pauseChanged(r, state, zap.Float64(fieldRetryAfter, period.Seconds()), zap.Float64(fieldRemaining, remaining.Seconds()))
}

// pauseEnded counts and logs that a server has accepted a request after a pause. The lines are rate-limited.
func (l *requestLog) pauseEnded(r responseHead) { l.pauseChanged(r, pauseEnded) }

func (l *requestLog) pauseChanged(r responseHead, state string, fields ...zap.Field) {
	l.metrics.ServerPause(state)
	suppressed, ok := l.serverPause.allow(l.clock.Now())
	if !ok {
		return
	}
	fields = append(fields, zap.String(fieldServer, r.server), zap.String(fieldState, state), zap.String(fieldRequest, r.request),
		zap.Int(fieldStatus, r.status), suppressed)
	l.log.Info(msgServerPaused, fields...)
}
