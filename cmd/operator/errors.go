package main

import "errors"

// Exit codes, which let scripts tell the kinds of failure apart.
const (
	exitRefused     = 1 // the mesh refused the request
	exitUsage       = 2 // the command line or a file that it names is invalid
	exitUnreachable = 3 // no registry answered, the outcome is not known, or -registries has a malformed address
)

// exitError is the error of a command together with the program's exit code.
type exitError struct {
	code int // one of the exit codes above
	err  error
}

// Error returns the text of the command's error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the command's error.
func (e *exitError) Unwrap() error { return e.err }

// asUnreachable returns an error of client.request with the exit code exitUnreachable. An error that
// already has an exit code is returned unchanged.
func asUnreachable(err error) error {
	var exit *exitError
	if errors.As(err, &exit) {
		return err
	}
	return &exitError{exitUnreachable, err}
}
