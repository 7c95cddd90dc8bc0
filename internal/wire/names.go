package wire

// Names are the headers of the interface between callers, gateway and backend
// servers; a platform sets its own.
type Names struct {
	// RequestID names a request; an answer carries its request's back.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// Signature is set on whole answers by backend servers.
	Signature string
	// Expect names the run of the backend server that a request is meant for.
	Expect string
	// ServerLimit is set on answers by backend servers in need: how many requests a second they take from
	// all senders together.
	ServerLimit string
	// NotRun is set on answers to requests that were not run.
	NotRun string
	// Model is the model, with an adapter after a slash.
	Model string
	// Tokens is the number of prompt tokens and, after a comma, the most to generate.
	Tokens string
	// Prefix lists the parts of a prompt as ID:TOKENS, separated by commas.
	Prefix string
	// Priority is the request's rank at the engine; 0 goes first.
	Priority string
	// Organisation names the organisation whose key the request came with.
	Organisation string
	// Reserved are further headers of requests that only the system may set: callers' are
	// never passed on.
	Reserved []string
}
