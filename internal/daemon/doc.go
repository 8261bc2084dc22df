// Package daemon has the parts that all long-running programs share:
//   - the reading and reloading of settings;
//   - the handling of signals;
//   - the log;
//   - the listener for health probes and status pages;
//   - the JSON form of HTTP responses;
//   - exit codes.
//
// The main function of a program calls Run, which makes the program's Environment: its log, its status pages, and the
// settings that are in effect. The program adds pages and readiness paths before it calls ServeProbes; from then on
// any goroutine may use the Environment.
package daemon
