package dispatch

// HeaderPrefix is the prefix of this project's own headers. [NativeCodec] does not pass them on, neither from callers
// nor from workers.
const HeaderPrefix = "Meadowhinge-"

// Headers between a proxy, its workers and its callers. A comment names the direction. The names on the wire are older
// than the constants' names.
const (
	HeaderToken          = HeaderPrefix + "Token"      // to workers: token by which a worker recognizes its requests
	HeaderCaller         = HeaderPrefix + "Caller"     // to workers: name of the caller
	HeaderRequest        = HeaderPrefix + "Request"    // to workers: id of the attempt; to callers: id of the call
	HeaderVersion        = HeaderPrefix + "Version"    // to workers and callers: version of the service
	HeaderReason         = HeaderPrefix + "Reason"     // to callers: reason why the version was chosen
	HeaderOutcome        = HeaderPrefix + "Outcome"    // to callers: name of the outcome, see OutcomeName
	HeaderConfigRevision = HeaderPrefix + "Setup"      // to callers: configuration revision of the plan
	HeaderAttempts       = HeaderPrefix + "Tries"      // to callers: number of attempts
	HeaderRefused        = HeaderPrefix + "Refused"    // from workers: the request was meant for another worker and did not run
	HeaderDeadline       = HeaderPrefix + "Horizon-Ms" // from callers: time that the caller allows for the call, in milliseconds
)
