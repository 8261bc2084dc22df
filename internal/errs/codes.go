package errs

import (
	"maps"
	"net/http"
	"slices"
)

// Code is the kind of failure that an error is. Callers, metrics and logs show the string, and other
// processes decide by it, so a code's string never changes.
type Code string

// The codes of the failures that leave a process or that decide what happens next.
const (
	InvalidOptions            Code = "BAD_OPTIONS"               // a setting, or a file that it names, cannot be used
	InvalidConfig             Code = "BAD_SETUP"                 // a configuration change has faults
	Conflict                  Code = "CONFLICT"                  // a change was made against another version of an item
	StaleTerm                 Code = "STALE_DUTY"                // a leader or rollout controller acted under a term that has passed
	NoQuorum                  Code = "NO_MAJORITY"               // no majority of the core members can be reached, or there is no leader
	ChangeNotFound            Code = "UNKNOWN_CHANGE"            // no change with this id is known
	RouteNotFound             Code = "NO_ROUTE"                  // no route, or no page, matches the request
	CallerNotAllowed          Code = "CALLER_NOT_ALLOWED"        // the service does not list the caller
	PolicyDenied              Code = "POLICY_REFUSED"            // the policy of the route does not allow the call
	BodyTooLarge              Code = "TOO_LARGE"                 // the request body exceeds the limit
	HeaderTooLarge            Code = "HEAD_TOO_LARGE"            // the request header exceeds the limit
	RequestTimeout            Code = "TOO_SLOW"                  // the client took too long to send its request
	MalformedRequest          Code = "MALFORMED"                 // the request is not valid HTTP, or not valid for its path
	NoLease                   Code = "NO_LEASE"                  // the proxy has no lease, so its configuration may be out of date
	NoWorker                  Code = "NO_WORKER"                 // no worker of the service can take the call
	QueueFull                 Code = "BUFFER_FULL"               // too many requests or reservations are in flight
	WorkerDraining            Code = "WORKER_LEAVING"            // the worker accepts no new requests
	WrongInstance             Code = "WRONG_INSTANCE"            // the proxy does not have the worker instance that was picked
	ProxyWarmingUp            Code = "PROXY_YOUNG"               // the proxy has just started and may not know all of its workers yet
	VersionNotAllowed         Code = "VERSION_NOT_ALLOWED"       // the configuration no longer allows the version that was picked
	StalePlan                 Code = "STALE_PLAN"                // the call was planned from an older configuration than is allowed
	DeadlineExceeded          Code = "HORIZON_PAST"              // the deadline of the call passed
	CallerDisconnected        Code = "CALLER_GONE"               // the caller closed its connection before it had a response
	DuplicateRequest          Code = "REQUEST_REPEATED"          // a request with this id has been received before
	IdempotencyKeyReused      Code = "IDEMPOTENCY_KEY_REUSED"    // the key was used for a request with another body
	IdempotencyKeyUnresolved  Code = "IDEMPOTENCY_KEY_UNSETTLED" // the outcome of an earlier request under the key is not known
	IdempotencyKeyNotReserved Code = "IDEMPOTENCY_KEY_UNCLAIMED" // no majority of registries reserved the key
	InvalidResponse           Code = "BAD_ANSWER"                // what answered is not a valid response
	PeerConnectionLost        Code = "LINK_LOST"                 // a connection to another mesh process broke after it was opened
	PeerConnectFailed         Code = "LINK_UNOPENED"             // a connection to another mesh process was never opened: nothing was sent
	WorkerConnectionLost      Code = "WORKER_LOST"               // a connection to a worker broke after it was opened
	WorkerConnectFailed       Code = "WORKER_UNOPENED"           // a connection to a worker was never opened: nothing was sent
	ProxyDraining             Code = "PROXY_DRAINING"            // the process is shutting down
	DiskFailed                Code = "DISK_FAILED"               // a file could not be read or written
	DiskCorrupt               Code = "DISK_CORRUPT"              // a file holds what was never written to it
	Unauthorized              Code = "STRANGER"                  // the peer is not authenticated, or not authorized for this
	Internal                  Code = "INTERNAL"                  // every error that has no other code
)

// statusClosedRequest is the customary log status of a request whose client closed its connection. It is
// never sent.
const statusClosedRequest = 499

// statusByCode is the HTTP status that a caller or operator gets for each code.
var statusByCode = map[Code]int{
	InvalidOptions:            http.StatusBadRequest,
	InvalidConfig:             http.StatusBadRequest,
	MalformedRequest:          http.StatusBadRequest,
	Conflict:                  http.StatusConflict,
	StaleTerm:                 http.StatusConflict,
	NoQuorum:                  http.StatusServiceUnavailable,
	ChangeNotFound:            http.StatusNotFound,
	RouteNotFound:             http.StatusNotFound,
	CallerNotAllowed:          http.StatusForbidden,
	PolicyDenied:              http.StatusForbidden,
	BodyTooLarge:              http.StatusRequestEntityTooLarge,
	HeaderTooLarge:            http.StatusRequestHeaderFieldsTooLarge,
	RequestTimeout:            http.StatusRequestTimeout,
	NoLease:                   http.StatusServiceUnavailable,
	NoWorker:                  http.StatusServiceUnavailable,
	QueueFull:                 http.StatusServiceUnavailable,
	ProxyDraining:             http.StatusServiceUnavailable,
	WorkerDraining:            http.StatusServiceUnavailable,
	WrongInstance:             http.StatusServiceUnavailable,
	VersionNotAllowed:         http.StatusServiceUnavailable,
	ProxyWarmingUp:            http.StatusServiceUnavailable,
	StalePlan:                 http.StatusServiceUnavailable,
	PeerConnectFailed:         http.StatusServiceUnavailable,
	WorkerConnectFailed:       http.StatusServiceUnavailable,
	DeadlineExceeded:          http.StatusGatewayTimeout,
	CallerDisconnected:        statusClosedRequest,
	IdempotencyKeyReused:      http.StatusUnprocessableEntity,
	IdempotencyKeyUnresolved:  http.StatusConflict,
	IdempotencyKeyNotReserved: http.StatusServiceUnavailable,
	DuplicateRequest:          http.StatusConflict,
	InvalidResponse:           http.StatusBadGateway,
	PeerConnectionLost:        http.StatusBadGateway,
	WorkerConnectionLost:      http.StatusBadGateway,
	DiskFailed:                http.StatusInternalServerError,
	DiskCorrupt:               http.StatusInternalServerError,
	Unauthorized:              http.StatusForbidden,
	Internal:                  http.StatusInternalServerError,
}

// Codes lists every code in alphabetical order.
func Codes() []Code { return slices.Sorted(maps.Keys(statusByCode)) }

// HTTPStatus is the HTTP status for a code, that of Internal for a code that does not exist.
func HTTPStatus(code Code) int {
	if status, found := statusByCode[code]; found {
		return status
	}
	return http.StatusInternalServerError
}
