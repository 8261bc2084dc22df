package dispatch

// HeaderPrefix is the prefix of our own headers; none of them is taken from outside.
const HeaderPrefix = "Meadowhinge-"

// Headers between a proxy, its workers and its callers.
const (
	HeaderToken          = HeaderPrefix + "Token"
	HeaderCaller         = HeaderPrefix + "Caller"
	HeaderRequest        = HeaderPrefix + "Request"
	HeaderVersion        = HeaderPrefix + "Version"
	HeaderReason         = HeaderPrefix + "Reason"
	HeaderOutcome        = HeaderPrefix + "Outcome"
	HeaderConfigRevision = HeaderPrefix + "Setup"
	HeaderAttempts       = HeaderPrefix + "Tries"
	HeaderRefused        = HeaderPrefix + "Refused" // a worker's word that it did not run what was not meant for it
	HeaderDeadline       = HeaderPrefix + "Horizon-Ms"
)
