package errs

import (
	"errors"

	pkgerrors "github.com/pkg/errors"
)

// Error is a failure with its code. The cause, if there is one, carries the stack of the first Wrap.
type Error struct {
	Code   Code
	Detail string // what the failure is about; may be shown to callers and operators
	cause  error
}

// Error puts the code first, so that a log line can be searched by it.
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

// Unwrap returns the cause, nil for none, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.cause }

// New makes an error that has no other error as its cause.
func New(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// Wrap adds a code and a detail to an error. A nil error stays nil, and an error that has a code already keeps it.
func Wrap(err error, code Code, detail string) error {
	if err == nil {
		return nil
	}
	// The first code was given closest to the cause, so it says most about it.
	var inner *Error
	if errors.As(err, &inner) {
		return &Error{Code: inner.Code, Detail: detail, cause: err}
	}
	return &Error{Code: code, Detail: detail, cause: pkgerrors.WithStack(err)}
}

// CodeOf returns the code of an error, found anywhere in its chain; Internal if it has none.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return Internal
}
