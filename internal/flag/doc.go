// Package flag evaluates feature flags: it decides which variation a context gets, in a fixed order of steps:
// preliminary checks, prerequisites, targets, rules, fallthrough. Variations are the versions of a service, or the
// services of a split route.
//
// Package config compiles the definitions that operators write, package plan evaluates them for each call. The
// package does no I/O, owns no state and never panics, whatever the definition or the context. A compiled Set is
// not changed by evaluation, so any number of goroutines may use it.
package flag
