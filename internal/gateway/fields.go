package gateway

// Messages of the lines that touch a request; docs/OPERATIONS.md explains them.
const (
	msgEnded      = "request ended"
	msgRefused    = "request refused"
	msgSendFailed = "send failed"
	msgSentAgain  = "sent again"
	msgCut        = "answer cut"
)

// Names of the fields of these lines; docs/OPERATIONS.md lists them with units.
const (
	fieldRequest   = "request"
	fieldRoute     = "route"
	fieldService   = "service"
	fieldModel     = "model"
	fieldOutcome   = "outcome"
	fieldStatus    = "status"
	fieldConfig    = "config"
	fieldSends     = "sends"
	fieldUnsent    = "unsent"
	fieldRuns      = "runs"
	fieldWaited    = "waited_s"
	fieldFirst     = "first_s"
	fieldPause     = "pause_s"
	fieldEvents    = "events"
	fieldTotal     = "total_s"
	fieldLimit     = "limit_s"
	fieldAge       = "age_s"
	fieldServer    = "server"
	fieldAddr      = "addr"
	fieldReason    = "reason"
	fieldHost      = "host"
	fieldTarget    = "target"
	fieldAmong     = "among"
	fieldHolders   = "holders"
	fieldRunning   = "running"
	fieldReading   = "reading_ms"
	fieldRead      = "read_ms"
	fieldOwn       = "own"
	fieldNear      = "near"
	fieldLastEvent = "last_event"
	fieldLeftOut   = "left_out"
)
