// Package errs classifies errors. Every error that leaves a process, or on which the handling of a request or a
// message depends, has a Code, and each Code has one HTTP status.
//
// All other packages use it. It owns no mutable state, and an Error never changes once it is made, so any goroutine
// may use it.
package errs
