// Package daemon is what the long-running programs share: reading settings, signals, the flight recorder, the
// probe listener, the form of HTTP responses, and exit codes.
//
// Run owns the state of a program's Environment: its status pages, and the settings that are in effect. Pages and
// readiness paths are added before ServeProbes; after that the Environment may be used from any goroutine.
package daemon
