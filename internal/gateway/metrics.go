package gateway

import "net/http"

// Metrics records metrics of a gateway.
type Metrics interface {
	// Handler serves the metrics in text format.
	Handler() http.Handler
	// RequestEnded counts a request of a route by its outcome. first and total are the times from its arrival to the
	// first byte and to the end, in seconds; first is 0 if there was no first byte.
	RequestEnded(route, outcome string, first, total float64)
	// RequestSent counts a send to a backend server; retry reports whether it is not the request's first.
	RequestSent(service string, retry bool)
	// Admissions counts admission requests to other gateways by result; silent is the number without a reply.
	Admissions(granted, denied, silent int)
	// QueueWaited records the wait of a request in the queue of a server that this gateway owns, and the wait that was
	// estimated, in seconds.
	QueueWaited(service string, estimated, waited float64)
	// QuotaCharged counts a request that was checked against an organisation's rate limit, with its cost in the limit's
	// unit. outcome is "inside", "over" or "unknown".
	QuotaCharged(organisation, outcome string, cost float64)
	// QuotaRefunded counts a charge that was returned to an organisation's rate limit, by the outcome of the request. cost
	// is in the limit's unit.
	QuotaRefunded(organisation, outcome string, cost float64)
	// LeadershipResigned counts a lease that this gateway gave up since an engine had rejected its token.
	LeadershipResigned()
	// ServerLimitChanged counts a change of a rate limit that a server announces, by state.
	ServerLimitChanged(state string)
	// ServerPause counts a change of the time for which a server accepts no requests, by state.
	ServerPause(state string)
	// ServerSpeedChanged counts a server whose published speed has become distinct from the median, or the median, by
	// state.
	ServerSpeedChanged(state string)
	// StreamResumed counts a stream that a caller resumes, by the source of its origin.
	StreamResumed(source string)
	// OriginsNotSent counts records of streams that could not be sent to another gateway.
	OriginsNotSent(records int)
	// ServerDeparture counts a server that announced that it is leaving, by origin of the announcement.
	ServerDeparture(origin string)
	// PermitRequested counts a request for a permit of a server's rate limit. outcome is "inside", "over" or "unknown".
	PermitRequested(outcome string)
	// ProcessorRefused counts a request that was refused because the gateway was short of processor time.
	ProcessorRefused()
	// ConnectionsAccepted counts n new connections of callers by what became of them.
	ConnectionsAccepted(result string, n int64)
	// HeadersRefused counts n requests that were refused before their header was complete, by reason.
	HeadersRefused(reason string, n int64)
	// MemoryHeld records the memory that callers' requests hold, by account, in bytes.
	MemoryHeld(account string, bytes int64)
	// IntakeObserved records the highest number of pending requests in the last second and the processor time that the
	// process used in it, in seconds.
	IntakeObserved(pending int, processorSeconds float64)
	// ForeignResponse counts a response of a server that was not that of the request for which it came, by kind.
	ForeignResponse(kind string)
	// BrokenResponse counts a response of a server that was malformed or broken off, by kind.
	BrokenResponse(kind string)
	// ServerCrashed counts a crash of a server under requests, by service.
	ServerCrashed(service string)
	// ConfigTransfer counts a transfer of the configuration and its size on the wire; err is not nil if it failed.
	ConfigTransfer(from string, bytes int, err error)
}

type noMetrics struct{}

func (noMetrics) Handler() http.Handler                         { return http.NotFoundHandler() }
func (noMetrics) RequestEnded(string, string, float64, float64) {}
func (noMetrics) RequestSent(string, bool)                      {}
func (noMetrics) ServerLimitChanged(string)                     {}
func (noMetrics) ServerPause(string)                            {}
func (noMetrics) ServerDeparture(string)                        {}
func (noMetrics) ServerSpeedChanged(string)                     {}
func (noMetrics) StreamResumed(string)                          {}
func (noMetrics) OriginsNotSent(int)                            {}
func (noMetrics) PermitRequested(string)                        {}
func (noMetrics) ProcessorRefused()                             {}
func (noMetrics) ConnectionsAccepted(string, int64)             {}
func (noMetrics) HeadersRefused(string, int64)                  {}
func (noMetrics) MemoryHeld(string, int64)                      {}
func (noMetrics) IntakeObserved(int, float64)                   {}
func (noMetrics) ForeignResponse(string)                        {}
func (noMetrics) BrokenResponse(string)                         {}
func (noMetrics) ServerCrashed(string)                          {}
func (noMetrics) QuotaCharged(string, string, float64)          {}
func (noMetrics) QuotaRefunded(string, string, float64)         {}
func (noMetrics) LeadershipResigned()                           {}
func (noMetrics) Admissions(int, int, int)                      {}
func (noMetrics) QueueWaited(string, float64, float64)          {}
func (noMetrics) ConfigTransfer(string, int, error)             {}
