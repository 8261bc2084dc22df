package dispatch

// HeaderPrefix is the prefix of this project's own headers. [NativeCodec] does not pass them on, neither from callers
// nor from workers.
const HeaderPrefix = "Meadowhinge-"

// Headers between a proxy, its workers and its callers. Each comment ends with the direction. The names on the
// wire are older than the constants' names.
const (
	HeaderToken          = HeaderPrefix + "Token"      // token by which a worker recognizes its requests; sent to workers
	HeaderCaller         = HeaderPrefix + "Caller"     // name of the caller; sent to workers
	HeaderRequest        = HeaderPrefix + "Request"    // id of the attempt, sent to workers, or of the call, sent to callers
	HeaderVersion        = HeaderPrefix + "Version"    // version of the service; sent to workers and callers
	HeaderReason         = HeaderPrefix + "Reason"     // reason for the version; sent to callers
	HeaderOutcome        = HeaderPrefix + "Outcome"    // name of the outcome (see OutcomeName); sent to callers
	HeaderConfigRevision = HeaderPrefix + "Setup"      // configuration revision of the plan; sent to callers
	HeaderAttempts       = HeaderPrefix + "Tries"      // number of attempts; sent to callers
	HeaderRefused        = HeaderPrefix + "Refused"    // mark of a request that was meant for another worker and did not run; sent by workers
	HeaderDeadline       = HeaderPrefix + "Horizon-Ms" // time that the caller allows for the call, in milliseconds; sent by callers
)
