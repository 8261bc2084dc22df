// Package defect names and wraps every failure in meadowhinge: one type, one kind each.
package errs

import (
	stderrors "errors"
	"maps"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// Code is the type of a failure; it is what callers, counts and logs see.
type Code string

// The kinds of failure that leave a process or steer a decision.
const (
	InvalidOptions            Code = "BAD_OPTIONS"
	InvalidConfig             Code = "BAD_SETUP"
	Conflict                  Code = "CONFLICT"
	StaleTerm                 Code = "STALE_DUTY"
	NoQuorum                  Code = "NO_MAJORITY"
	ChangeNotFound            Code = "UNKNOWN_CHANGE"
	RouteNotFound             Code = "NO_ROUTE"
	CallerNotAllowed          Code = "CALLER_NOT_ALLOWED"
	PolicyDenied              Code = "POLICY_REFUSED"
	BodyTooLarge              Code = "TOO_LARGE"
	HeaderTooLarge            Code = "HEAD_TOO_LARGE"
	RequestTimeout            Code = "TOO_SLOW"
	MalformedRequest          Code = "MALFORMED"
	NoLease                   Code = "NO_LEASE"
	NoWorker                  Code = "NO_WORKER"
	QueueFull                 Code = "BUFFER_FULL"
	WorkerDraining            Code = "WORKER_LEAVING"
	WrongInstance             Code = "WRONG_INSTANCE"
	ProxyWarmingUp            Code = "PROXY_YOUNG" // has just started, and may lack workers that are there
	VersionNotAllowed         Code = "VERSION_NOT_ALLOWED"
	StalePlan                 Code = "STALE_PLAN"
	DeadlineExceeded          Code = "HORIZON_PAST"
	CallerDisconnected        Code = "CALLER_GONE" // closed its connection before its call was answered
	DuplicateRequest          Code = "REQUEST_REPEATED"
	IdempotencyKeyReused      Code = "IDEMPOTENCY_KEY_REUSED"
	IdempotencyKeyUnresolved  Code = "IDEMPOTENCY_KEY_UNSETTLED"
	IdempotencyKeyNotReserved Code = "IDEMPOTENCY_KEY_UNCLAIMED"
	InvalidResponse           Code = "BAD_ANSWER"
	PeerConnectionLost        Code = "LINK_LOST"
	PeerConnectFailed         Code = "LINK_UNOPENED"
	WorkerConnectionLost      Code = "WORKER_LOST"
	WorkerConnectFailed       Code = "WORKER_UNOPENED"
	ProxyDraining             Code = "PROXY_DRAINING"
	DiskFailed                Code = "DISK_FAILED"
	DiskCorrupt               Code = "DISK_CORRUPT"
	Unauthorized              Code = "STRANGER"
	Internal                  Code = "INTERNAL"
)

// statusClosedRequest is what logs call a request whose client closed its connection; nobody is sent it.
const statusClosedRequest = 499

// statusByCode is the HTTP status that a caller or operator gets for a kind.
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

// Codes lists every kind of failure there is.
func Codes() []Code { return slices.Sorted(maps.Keys(statusByCode)) }

// Error is a failure with its kind; the cause, if any, carries the stack.
type Error struct {
	Code   Code
	Detail string
	cause  error
}

// Error says the kind first, so that a log line can be searched by it.
func (e *Error) Error() string {
	message := string(e.Code)
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	if e.cause != nil {
		message += ": " + e.cause.Error()
	}
	return message
}

// Unwrap gives the cause to errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.cause }

// New makes a failure that has no cause in another library.
func New(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// Wrap names an error from elsewhere; nil stays nil and a defect keeps its first kind.
func Wrap(err error, code Code, detail string) error {
	if err == nil {
		return nil
	}
	// The first name given is nearest the cause, so it is the one kept.
	var inner *Error
	if stderrors.As(err, &inner) {
		return &Error{Code: inner.Code, Detail: detail, cause: err}
	}
	return &Error{Code: code, Detail: detail, cause: errors.WithStack(err)}
}

// CodeOf finds the kind of any error; one that was never named is internal.
func CodeOf(err error) Code {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}

// HTTPStatus is the HTTP status for a kind.
func HTTPStatus(code Code) int {
	if status, found := statusByCode[code]; found {
		return status
	}
	return http.StatusInternalServerError
}
