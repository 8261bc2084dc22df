package dispatch

import (
	"bytes"
)

// hopByHopHeaders are the lower-case names of headers that are not passed on: the hop-by-hop headers, which are meant
// for one connection only (RFC 9110, section 7.6.1), and headers that each connection sets anew. They are grouped by
// length, so that most names are ruled out without a comparison.
var hopByHopHeaders = func() map[int][][]byte {
	byLength := map[int][][]byte{}
	for _, name := range []string{
		"connection", "content-length", "expect", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	} {
		byLength[len(name)] = append(byLength[len(name)], []byte(name))
	}
	return byLength
}()

// IsHopByHopHeader reports whether a header is meant for one connection only, or is set anew for each. The case of the
// name does not matter.
func IsHopByHopHeader(name []byte) bool {
	for _, hopByHop := range hopByHopHeaders[len(name)] {
		if bytes.EqualFold(hopByHop, name) {
			return true
		}
	}
	return false
}
