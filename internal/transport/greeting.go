package transport

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"

	"meadowhinge/internal/errs"
)

// maxGreetingBytes is the maximum length of the greeting of a plaintext connection, in bytes, without its newline.
const maxGreetingBytes = 4096

// greetingFields is the number of fields of a greeting, which are separated by blanks.
const greetingFields = 4

// greeting returns the line with which a plaintext connection begins. Its fields are the protocol version, the role,
// the name, and the comma-separated services and client kinds on whose behalf the peer may make calls.
func (p Peer) greeting() string {
	services := strings.Join(slices.Sorted(maps.Keys(p.mayCallAs)), ",")
	return strings.Join([]string{protocolVersion, p.Role, p.Name, services}, " ") + "\n"
}

// readGreeting reads a peer's greeting. It reads byte by byte, so that nothing after the greeting is consumed. Errors
// are Unauthorized.
func readGreeting(raw net.Conn) (Peer, error) {
	text, octet := make([]byte, 0, 64), make([]byte, 1)
	for {
		if _, err := io.ReadFull(raw, octet); err != nil {
			return Peer{}, errs.Wrap(err, errs.Unauthorized, "read greeting")
		}
		if octet[0] == '\n' {
			return parseGreeting(string(text))
		}
		if text = append(text, octet[0]); len(text) > maxGreetingBytes {
			return Peer{}, errs.New(errs.Unauthorized, fmt.Sprintf("greeting exceeds %d bytes", maxGreetingBytes))
		}
	}
}

func parseGreeting(text string) (Peer, error) {
	fields := strings.Split(text, " ")
	if len(fields) != greetingFields || fields[0] != protocolVersion {
		return Peer{}, otherProtocolError()
	}
	peer := Peer{Role: fields[1], Name: fields[2], mayCallAs: map[string]bool{}, identified: true}
	for _, service := range strings.Split(fields[3], ",") {
		if service != "" {
			peer.mayCallAs[service] = true
		}
	}
	return peer, nil
}

// otherProtocolError returns the error for a peer that has another protocol version or is no mesh process at all.
func otherProtocolError() error {
	return errs.New(errs.Unauthorized, "peer does not speak the protocol "+protocolVersion)
}
