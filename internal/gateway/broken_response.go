package gateway

import (
	"errors"
	"syscall"

	"go.uber.org/zap"

	"rockcleat/internal/responseconn"
)

// Kinds of broken responses, as used in log lines and metrics.
const (
	// brokenHead: the head is malformed.
	brokenHead = "head"
	// brokenReset: the connection was reset before the end of the response.
	brokenReset = "reset"
)

// brokenKind returns the kind of a broken response on which a send has failed, or an empty string if it failed otherwise.
func brokenKind(err error) string {
	var head *responseconn.HeadError
	switch {
	case errors.As(err, &head):
		return brokenHead
	case errors.Is(err, syscall.ECONNRESET):
		return brokenReset
	}
	return ""
}

// countBroken counts a broken response on which a send has failed, if err tells of one. It returns a field with its kind.
func (l *requestLog) countBroken(err error) zap.Field {
	kind := brokenKind(err)
	if kind == "" {
		return zap.Skip()
	}
	l.metrics.BrokenResponse(kind)
	return zap.String(fieldKind, kind)
}
