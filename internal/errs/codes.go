package errs

import (
	"maps"
	"net/http"
	"slices"
)

// Code is the class of an error. Callers, metrics and logs show the string, and other processes handle an error by it,
// so the string of a code never changes.
type Code string

// The codes. A constant may be renamed, its string may not.
const (
	InvalidOptions            Code = "BAD_OPTIONS"               // a setting, or a file that it names, is invalid
	InvalidConfig             Code = "BAD_SETUP"                 // a configuration change is invalid
	Conflict                  Code = "CONFLICT"                  // a change is based on another version of an item than the stored one
	StaleTerm                 Code = "STALE_DUTY"                // a rollout controller acted in a term that is no longer the current one
	NoQuorum                  Code = "NO_MAJORITY"               // the core did not decide in time: no majority is reachable, or there is no leader
	ChangeNotFound            Code = "UNKNOWN_CHANGE"            // no change with this id is known
	RouteNotFound             Code = "NO_ROUTE"                  // no route, or no page, matches the request
	CallerNotAllowed          Code = "CALLER_NOT_ALLOWED"        // the service does not allow the caller, or the peer may not call on its behalf
	PolicyDenied              Code = "POLICY_REFUSED"            // the policy of the route denied the call
	BodyTooLarge              Code = "TOO_LARGE"                 // the request body exceeds the limit
	HeaderTooLarge            Code = "HEAD_TOO_LARGE"            // the request header exceeds the limit
	RequestTimeout            Code = "TOO_SLOW"                  // the client took too long to send its request
	MalformedRequest          Code = "MALFORMED"                 // the request is not valid HTTP, or not valid for its path
	NoLease                   Code = "NO_LEASE"                  // the proxy has no valid lease, so its configuration may be stale
	NoWorker                  Code = "NO_WORKER"                 // no worker of the service can take the call
	QueueFull                 Code = "BUFFER_FULL"               // a capacity limit is reached, such as on requests in flight or reservations
	WorkerDraining            Code = "WORKER_LEAVING"            // the worker accepts no new requests
	WrongInstance             Code = "WRONG_INSTANCE"            // the proxy does not have the worker instance that was picked
	ProxyWarmingUp            Code = "PROXY_YOUNG"               // the proxy has just started and may not know all of its workers yet
	VersionNotAllowed         Code = "VERSION_NOT_ALLOWED"       // the current configuration does not allow the version that was picked
	StalePlan                 Code = "STALE_PLAN"                // the call was planned with a configuration older than the proxy accepts
	DeadlineExceeded          Code = "HORIZON_PAST"              // the deadline of the call has passed
	CallerDisconnected        Code = "CALLER_GONE"               // the caller closed its connection before the response was sent
	DuplicateRequest          Code = "REQUEST_REPEATED"          // a request with this id has been received before
	IdempotencyKeyReused      Code = "IDEMPOTENCY_KEY_REUSED"    // the key was used for a request with another target or body
	IdempotencyKeyUnresolved  Code = "IDEMPOTENCY_KEY_UNSETTLED" // the outcome of an earlier request under the key is not known
	IdempotencyKeyNotReserved Code = "IDEMPOTENCY_KEY_UNCLAIMED" // no majority of registries reserved the key
	InvalidResponse           Code = "BAD_ANSWER"                // a worker or another mesh process sent something that is not a valid response
	PeerConnectionLost        Code = "LINK_LOST"                 // a connection to another mesh process broke after it was opened
	PeerConnectFailed         Code = "LINK_UNOPENED"             // a connection to another mesh process was never opened: nothing was sent
	WorkerConnectionLost      Code = "WORKER_LOST"               // a connection to a worker broke after it was opened
	WorkerConnectFailed       Code = "WORKER_UNOPENED"           // a connection to a worker was never opened: nothing was sent
	ProxyDraining             Code = "PROXY_DRAINING"            // the process is shutting down
	DiskFailed                Code = "DISK_FAILED"               // a file could not be read or written
	DiskCorrupt               Code = "DISK_CORRUPT"              // the content of a file is not what was written to it
	Unauthorized              Code = "STRANGER"                  // the peer is not authenticated or not authorized, or speaks another protocol version
	Internal                  Code = "INTERNAL"                  // any error without another code
)

// statusClosedRequest is the conventional status (as in nginx logs) of a request whose client closed its connection
// before the response. It appears in logs and is never sent.
const statusClosedRequest = 499

// statusByCode has the HTTP status of the response that a caller or operator gets, for every code.
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

// Codes returns every code in alphabetical order of the strings.
func Codes() []Code { return slices.Sorted(maps.Keys(statusByCode)) }

// HTTPStatus returns the HTTP status of a code; a code that does not exist has the status of Internal.
func HTTPStatus(code Code) int {
	if status, found := statusByCode[code]; found {
		return status
	}
	return http.StatusInternalServerError
}
