package transport

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"

	"meadowhinge/internal/errs"
)

// maxGreetingBytes bounds the greeting of a plaintext connection, in bytes.
const maxGreetingBytes = 4096

// greetingFields is the number of fields of a greeting.
const greetingFields = 4

// greeting is the line with which a plaintext connection begins: protocol, role, name, and the services that the
// peer may call as, separated by commas.
func (p Peer) greeting() string {
	services := strings.Join(slices.Sorted(maps.Keys(p.mayCallAs)), ",")
	return strings.Join([]string{protocolVersion, p.Role, p.Name, services}, " ") + "\n"
}

// readGreeting reads a peer's greeting byte by byte, so that nothing after it is consumed.
func readGreeting(raw net.Conn) (Peer, error) {
	text, octet := make([]byte, 0, 64), make([]byte, 1)
	for {
		if _, err := io.ReadFull(raw, octet); err != nil {
			return Peer{}, errs.Wrap(err, errs.Unauthorized, "greeting")
		}
		if octet[0] == '\n' {
			return parseGreeting(string(text))
		}
		if text = append(text, octet[0]); len(text) > maxGreetingBytes {
			return Peer{}, errs.New(errs.Unauthorized, "greeting is too long")
		}
	}
}

func parseGreeting(text string) (Peer, error) {
	fields := strings.Split(text, " ")
	if len(fields) != greetingFields || fields[0] != protocolVersion {
		return Peer{}, otherProtocolError()
	}
	peer := Peer{Role: fields[1], Name: fields[2], mayCallAs: map[string]bool{}, verified: true}
	for _, service := range strings.Split(fields[3], ",") {
		if service != "" {
			peer.mayCallAs[service] = true
		}
	}
	return peer, nil
}

// otherProtocolError is the error for a peer with another protocol version, or no mesh process at all.
func otherProtocolError() error { return errs.New(errs.Unauthorized, "speaks another protocol") }
