// Package errs is how meadowhinge classifies failures: every error that leaves a process, or that decides what
// happens next, has a Code, and each Code has one HTTP status.
//
// All other packages use it. It owns no state; an Error never changes once made.
package errs
