// Package flag evaluates feature flags. A flag decides which of its variations a context gets, in a fixed order of
// steps: preliminary checks, prerequisites, targets, rules, fallthrough. The variations are the versions of a
// service, or the services of a split route. A context is the data about a call, by context kind, such as the user.
//
// Package config decodes the flags that operators write and prepares them for evaluation. Package plan evaluates them
// for each call.
//
// Package flag does no I/O, owns no state and never panics, whatever the definition or the context. Evaluation does not
// change a prepared Set, so any number of goroutines may use it.
package flag
