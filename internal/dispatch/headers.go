package dispatch

// HeaderPrefix is the prefix of this project's own headers. [NativeCodec] does not pass them on, neither from callers
// nor from workers.
const HeaderPrefix = "Meadowhinge-"

// Headers between a proxy, its workers and its callers. The names on the wire are older than the constants' names.
const (
	HeaderToken          = HeaderPrefix + "Token"
	HeaderCaller         = HeaderPrefix + "Caller"
	HeaderRequest        = HeaderPrefix + "Request"
	HeaderVersion        = HeaderPrefix + "Version"
	HeaderReason         = HeaderPrefix + "Reason"
	HeaderOutcome        = HeaderPrefix + "Outcome"
	HeaderConfigRevision = HeaderPrefix + "Setup"
	HeaderAttempts       = HeaderPrefix + "Tries"
	HeaderRefused        = HeaderPrefix + "Refused" // set by a worker that did not run a request meant for another one
	HeaderDeadline       = HeaderPrefix + "Horizon-Ms"
)
