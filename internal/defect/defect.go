// Package defect names and wraps every failure in meadowhinge: one type, one kind each.
package defect

import (
	stderrors "errors"
	"maps"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// Kind is the type of a failure; it is what callers, counts and logs see.
type Kind string

// The kinds of failure that leave a process or steer a decision.
const (
	BadOptions     Kind = "BAD_OPTIONS"
	BadSetup       Kind = "BAD_SETUP"
	Conflict       Kind = "CONFLICT"
	StaleDuty      Kind = "STALE_DUTY"
	NoMajority     Kind = "NO_MAJORITY"
	UnknownChange  Kind = "UNKNOWN_CHANGE"
	NoRoute        Kind = "NO_ROUTE"
	NotAllowed     Kind = "CALLER_NOT_ALLOWED"
	PolicyRefused  Kind = "POLICY_REFUSED"
	TooLarge       Kind = "TOO_LARGE"
	HeadTooLarge   Kind = "HEAD_TOO_LARGE"
	TooSlow        Kind = "TOO_SLOW"
	Malformed      Kind = "MALFORMED"
	NoLease        Kind = "NO_LEASE"
	NoWorker       Kind = "NO_WORKER"
	BufferFull     Kind = "BUFFER_FULL"
	Leaving        Kind = "WORKER_LEAVING"
	WrongInstance  Kind = "WRONG_INSTANCE"
	ProxyYoung     Kind = "PROXY_YOUNG" // has just started, and may lack workers that are there
	VersionBarred  Kind = "VERSION_NOT_ALLOWED"
	StalePlan      Kind = "STALE_PLAN"
	HorizonPast    Kind = "HORIZON_PAST"
	CallerGone     Kind = "CALLER_GONE" // closed its connection before its call was answered
	Repeated       Kind = "REQUEST_REPEATED"
	KeyReused      Kind = "IDEMPOTENCY_KEY_REUSED"
	KeyUnsettled   Kind = "IDEMPOTENCY_KEY_UNSETTLED"
	KeyUnclaimed   Kind = "IDEMPOTENCY_KEY_UNCLAIMED"
	BadAnswer      Kind = "BAD_ANSWER"
	LinkLost       Kind = "LINK_LOST"
	LinkUnopened   Kind = "LINK_UNOPENED"
	WorkerLost     Kind = "WORKER_LOST"
	WorkerUnopened Kind = "WORKER_UNOPENED"
	Draining       Kind = "PROXY_DRAINING"
	DiskFailed     Kind = "DISK_FAILED"
	DiskCorrupt    Kind = "DISK_CORRUPT"
	Stranger       Kind = "STRANGER"
	Internal       Kind = "INTERNAL"
)

// statusClosedRequest is what logs call a request whose client closed its connection; nobody is sent it.
const statusClosedRequest = 499

// statusByKind is the HTTP status that a caller or operator gets for a kind.
var statusByKind = map[Kind]int{
	BadOptions:     http.StatusBadRequest,
	BadSetup:       http.StatusBadRequest,
	Malformed:      http.StatusBadRequest,
	Conflict:       http.StatusConflict,
	StaleDuty:      http.StatusConflict,
	NoMajority:     http.StatusServiceUnavailable,
	UnknownChange:  http.StatusNotFound,
	NoRoute:        http.StatusNotFound,
	NotAllowed:     http.StatusForbidden,
	PolicyRefused:  http.StatusForbidden,
	TooLarge:       http.StatusRequestEntityTooLarge,
	HeadTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	TooSlow:        http.StatusRequestTimeout,
	NoLease:        http.StatusServiceUnavailable,
	NoWorker:       http.StatusServiceUnavailable,
	BufferFull:     http.StatusServiceUnavailable,
	Draining:       http.StatusServiceUnavailable,
	Leaving:        http.StatusServiceUnavailable,
	WrongInstance:  http.StatusServiceUnavailable,
	VersionBarred:  http.StatusServiceUnavailable,
	ProxyYoung:     http.StatusServiceUnavailable,
	StalePlan:      http.StatusServiceUnavailable,
	LinkUnopened:   http.StatusServiceUnavailable,
	WorkerUnopened: http.StatusServiceUnavailable,
	HorizonPast:    http.StatusGatewayTimeout,
	CallerGone:     statusClosedRequest,
	KeyReused:      http.StatusUnprocessableEntity,
	KeyUnsettled:   http.StatusConflict,
	KeyUnclaimed:   http.StatusServiceUnavailable,
	Repeated:       http.StatusConflict,
	BadAnswer:      http.StatusBadGateway,
	LinkLost:       http.StatusBadGateway,
	WorkerLost:     http.StatusBadGateway,
	DiskFailed:     http.StatusInternalServerError,
	DiskCorrupt:    http.StatusInternalServerError,
	Stranger:       http.StatusForbidden,
	Internal:       http.StatusInternalServerError,
}

// Kinds lists every kind of failure there is.
func Kinds() []Kind { return slices.Sorted(maps.Keys(statusByKind)) }

// Defect is a failure with its kind; the cause, if any, carries the stack.
type Defect struct {
	Kind   Kind
	Detail string
	cause  error
}

// Error says the kind first, so that a log line can be searched by it.
func (d *Defect) Error() string {
	text := string(d.Kind)
	if d.Detail != "" {
		text += ": " + d.Detail
	}
	if d.cause != nil {
		text += ": " + d.cause.Error()
	}
	return text
}

// Unwrap gives the cause to errors.Is and errors.As.
func (d *Defect) Unwrap() error { return d.cause }

// New makes a failure that has no cause in another library.
func New(kind Kind, detail string) *Defect { return &Defect{Kind: kind, Detail: detail} }

// Wrap names an error from elsewhere; nil stays nil and a defect keeps its first kind.
func Wrap(err error, kind Kind, detail string) error {
	if err == nil {
		return nil
	}
	// The first name given is nearest the cause, so it is the one kept.
	var inner *Defect
	if stderrors.As(err, &inner) {
		return &Defect{Kind: inner.Kind, Detail: detail, cause: err}
	}
	return &Defect{Kind: kind, Detail: detail, cause: errors.WithStack(err)}
}

// KindOf finds the kind of any error; one that was never named is internal.
func KindOf(err error) Kind {
	var found *Defect
	if stderrors.As(err, &found) {
		return found.Kind
	}
	return Internal
}

// Status is the HTTP status for a kind.
func Status(kind Kind) int {
	if status, known := statusByKind[kind]; known {
		return status
	}
	return http.StatusInternalServerError
}
