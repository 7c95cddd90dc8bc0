package wire

// HeaderNames are the header names of the interface between callers, gateways and backend servers.
type HeaderNames struct {
	// RequestID identifies a request; its response carries the same value.
	RequestID string
	// Deadline is the time that the sender waits for the response, in milliseconds.
	Deadline string
	// Signature is set by backend servers on complete responses.
	Signature string
	// Expect identifies the server instance that a request is meant for.
	Expect string
	// ServerLimit is set by overloaded backend servers on responses: the number of requests per second that
	// they accept from all senders together.
	ServerLimit string
	// Leaving is set to 1 on all responses of a backend server that is leaving.
	Leaving string
	// RetryAfter is set by backend servers on responses with status 503: the time for which they accept no more requests
	// from this sender, in seconds.
	RetryAfter string
	// NotRun is set on responses to requests that were not run.
	NotRun string
	// Model is the model's name, followed by a slash and the adapter's name if there is one.
	Model string
	// Tokens is the number of prompt tokens and, after a comma, the maximum to generate.
	Tokens string
	// OutputEstimate is the caller's estimate of the number of tokens that will be generated.
	OutputEstimate string
	// Prefix lists the parts of a prompt as ID:TOKENS, separated by commas.
	Prefix string
	// Priority is the request's priority at the engine; 0 is the highest.
	Priority string
	// Resumes is set by callers that resume a stream: the RequestID of the attempt that brought its first event.
	Resumes string
	// Organisation is the organisation that the request's key belongs to.
	Organisation string
	// Reserved are further request headers that only the system may set. Those of callers are
	// removed.
	Reserved []string
}
