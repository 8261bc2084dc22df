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

// client calls the operators' interface of the registries. The global flags fill in registries,
// timeout and asJSON before a subcommand runs.
type client struct {
	registries string        // IP:port of each registry, separated by commas
	timeout    time.Duration // for one call to one registry
	asJSON     bool          // print responses as they came
	in         io.Reader
	out        io.Writer
	errOut     io.Writer
}

// decoding returns a copy of the client whose get always decodes, whatever -json says.
func (c *client) decoding() *client {
	decoding := *c
	decoding.asJSON = false
	return &decoding
}

// request calls one registry after another until one answers, and returns that one's status and
// body. If every registry that answers a GET is unavailable, the last such response is returned.
func (c *client) request(ctx context.Context, method, path string, body any) (int, []byte, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, errs.Wrap(err, errs.Internal, "request")
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
		// A registry that has just started may not know yet. A read has no effect, so another
		// registry is asked.
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

// requestFrom calls one registry and reads its complete response. A path that is no URL, made of an
// argument such as the change id "%zz", is an exitError: no other registry can answer it either.
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
	defer func() { _ = response.Body.Close() }() // read to its end, or failed already
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errs.Wrap(err, errs.NoQuorum, address)
	}
	return response.StatusCode, text, nil
}

// get reads a page and decodes it into target. With -json it prints the page as it came instead,
// and returns printed as true.
func (c *client) get(ctx context.Context, path string, target any) (printed bool, err error) {
	status, text, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return false, asUnreachable(err)
	}
	if status != http.StatusOK {
		return false, &exitError{exitRejected, errs.New(errs.NoQuorum, string(text))}
	}
	if c.asJSON {
		printLine(c.out, string(text))
		return true, nil
	}
	return false, errs.Wrap(json.Unmarshal(text, target), errs.MalformedRequest, path)
}
