package http1

import (
	"bufio"
	"strconv"
	"strings"
)

// forbiddenTrailers holds the lower-case names of fields that no trailer may have, because they concern the framing, the
// connection, the routing, the authentication or the format of the content (RFC 9110, section 6.5.1).
var forbiddenTrailers = map[string]bool{
	"authorization":       true,
	"connection":          true,
	"content-encoding":    true,
	"content-length":      true,
	"content-range":       true,
	"content-type":        true,
	"cookie":              true,
	"expect":              true,
	"host":                true,
	"keep-alive":          true,
	"location":            true,
	"max-forwards":        true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"range":               true,
	"set-cookie":          true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"www-authenticate":    true,
}

// SkipTrailer reads the trailer after the last chunk, up to and including the empty line that ends it, and discards its
// fields (RFC 9112, section 7.1.2). The trailer may have maxBytes bytes. It fails like [ResponseHead.Read], and with
// errs.InvalidResponse for a field that a trailer must not have.
func SkipTrailer(reader *bufio.Reader, maxBytes int) error {
	for bytesLeft := maxBytes; ; {
		line, err := ReadLine(reader)
		if err != nil || len(line) == 0 {
			return err
		}
		field, err := parseField(line)
		switch bytesLeft -= len(line); {
		case err != nil:
			return err
		case forbiddenTrailers[strings.ToLower(string(field.Name))]:
			return invalid("response has the field " + string(field.Name) + " in its trailer")
		case bytesLeft < 0:
			return invalid("trailer of the response exceeds " + strconv.Itoa(maxBytes) + " bytes")
		}
	}
}
