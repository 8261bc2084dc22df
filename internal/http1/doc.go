// Package http1 holds the syntax of HTTP/1.x messages that the data plane accepts, as RFC 9110 and RFC 9112 define it.
//
// Package proxy reads callers' requests by it, and package dispatch reads workers' responses. A message that another
// recipient could interpret differently is refused and not repaired: an HTTP library that repairs it would pass on
// something that its sender did not send. docs/requests.md states the rule for responses.
//
// The package keeps no state and starts no goroutines. Its errors are those of the reader, which say how the connection
// ended, or have the code errs.InvalidResponse.
package http1
