//go:build review

package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Patch sends one change to a middle machine and returns the status, 0 without an answer within the timeout.
func (f *Fleet) Patch(to *Machine, change string, timeout time.Duration) (status int, answer string) {
	return f.call(to, http.MethodPatch, "/meadowhinge/settings", change, timeout)
}

// ReadSettings reads the configuration back from a middle machine.
func (f *Fleet) ReadSettings(from *Machine, timeout time.Duration) (status int, answer string) {
	return f.call(from, http.MethodGet, "/meadowhinge/settings", "", timeout)
}

func (f *Fleet) call(to *Machine, method, path, body string, timeout time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.OperatorAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	f.Record.Event("operator sends %s %s to %s: %s", method, path, to.Name, body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.Record.Event("operator got no answer from %s: %v", to.Name, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	f.Record.Event("operator got %d from %s: %s", response.StatusCode, to.Name, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// PatchUntilTaken sends a change to the middle machines in turn until one acknowledges it.
func (f *Fleet) PatchUntilTaken(change string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		middle := f.Middle()
		if status, _ := f.Patch(middle[i%len(middle)], change, time.Second); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the change was not acknowledged within %v", timeout)
}
