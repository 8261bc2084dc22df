package main

import "errors"

// Exit codes, so that a script can tell the kinds of failure apart.
const (
	exitRejected    = 1 // the mesh rejected the request
	exitUsage       = 2
	exitUnreachable = 3 // no registry answered, or the outcome is not known
)

// exitError is an error of a command together with the exit code that it asks for.
type exitError struct {
	code int
	err  error
}

// Error is the text of the error that the command failed with.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap gives the error that the command failed with.
func (e *exitError) Unwrap() error { return e.err }

// asUnreachable gives an error of client.request the exit code for an unreachable mesh, unless the
// error asks for an exit code already.
func asUnreachable(err error) error {
	var exit *exitError
	if errors.As(err, &exit) {
		return err
	}
	return &exitError{exitUnreachable, err}
}
