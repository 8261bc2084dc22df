package errs

import (
	"errors"

	pkgerrors "github.com/pkg/errors"
)

// Error is an error with a code.
type Error struct {
	Code   Code
	Detail string // description of the failure and its object, may be empty; callers and operators may see it
	cause  error  // wrapped error with the stack trace of the first Wrap; nil for an Error of New
}

// Error returns the code, the detail and the text of the cause. The code comes first, so that logs can be searched by
// it.
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

// Unwrap returns the cause for errors.Is and errors.As, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error without a cause.
func New(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// Wrap returns an error with err as its cause, and with a code and a detail. If err or one of its causes has a code
// already, that code is kept and code is ignored. Wrap returns nil if err is nil.
func Wrap(err error, code Code, detail string) error {
	if err == nil {
		return nil
	}
	// The code that was set first was set closest to the cause, so it is the most specific one.
	var inner *Error
	if errors.As(err, &inner) {
		return &Error{Code: inner.Code, Detail: detail, cause: err}
	}
	return &Error{Code: code, Detail: detail, cause: pkgerrors.WithStack(err)}
}

// CodeOf returns the code of an error or of one of its causes, and Internal if none of them has a code.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}
