package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
)

// client calls the operators' HTTP interface of the registries. The global flags set registries, timeout
// and asJSON before a subcommand runs.
type client struct {
	registries string        // IP:port of each registry, separated by commas
	timeout    time.Duration // bound of one call to one registry
	asJSON     bool          // print response bodies unchanged instead of as text
	in         io.Reader     // standard input
	out        io.Writer     // standard output
	errOut     io.Writer     // standard error
}

// decoding returns a copy of the client whose get always decodes the response, regardless of -json.
func (c *client) decoding() *client {
	decoding := *c
	decoding.asJSON = false
	return &decoding
}

// request calls one registry after another until one answers, and returns the status and body of its
// response. A GET that is answered with 503 is tried at the next registry. If no registry gives another
// response, the last 503 is returned. If none responds at all, the error is NoQuorum. An address that is
// not IP:port is an InvalidOptions error, and an invalid path is the exitError of requestFrom.
func (c *client) request(ctx context.Context, method, path string, body any) (int, []byte, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, errs.Wrap(err, errs.Internal, "encode request")
		}
	}
	unreachable := []string{}
	var unavailable []byte
	for _, address := range options.SplitList(c.registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return 0, nil, errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address))
		}
		status, text, err := c.requestFrom(ctx, address, method, path, encoded)
		var misuse *exitError
		if errors.As(err, &misuse) {
			return 0, nil, misuse
		}
		if err != nil {
			unreachable = append(unreachable, address)
			continue
		}
		// A registry that has just started may not know the answer yet. A read has no effect, so it
		// can be sent to another registry.
		if method == http.MethodGet && status == http.StatusServiceUnavailable {
			unavailable = text
			continue
		}
		return status, text, nil
	}
	if unavailable != nil {
		return http.StatusServiceUnavailable, unavailable, nil
	}
	return 0, nil, errs.New(errs.NoQuorum, "no answer from "+strings.Join(unreachable, ", "))
}

// requestFrom calls one registry and reads its complete response. A failed call is a NoQuorum error. A
// path that is not a valid URL, for example because of the change id "%zz", is an exitError with
// exitUsage, because no other registry can answer it either.
func (c *client) requestFrom(ctx context.Context, address, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &exitError{exitUsage, errs.Wrap(err, errs.InvalidOptions, path)}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errs.Wrap(err, errs.NoQuorum, address)
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end, or reading it failed
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errs.Wrap(err, errs.NoQuorum, address)
	}
	return response.StatusCode, text, nil
}

// get requests a page and decodes its JSON into target. With -json it prints the page unchanged instead
// and returns printed as true. A status other than 200 is an exitError with exitRejected.
func (c *client) get(ctx context.Context, path string, target any) (printed bool, err error) {
	status, text, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return false, asUnreachable(err)
	}
	if status != http.StatusOK {
		return false, &exitError{exitRefused, errs.New(errs.NoQuorum, string(text))}
	}
	if c.asJSON {
		printLine(c.out, string(text))
		return true, nil
	}
	return false, errs.Wrap(json.Unmarshal(text, target), errs.MalformedRequest, path)
}
