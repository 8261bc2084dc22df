package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

	"meadowhinge/schema"
)

// SIGHUP requests a reload of the settings and does not end the program.
func TestSIGHUPDoesNotStopProgram(t *testing.T) {
	settings := &schema.StoreOptions{}
	args := []string{"-links=plain", "-seat=s", "-listen=127.0.0.1:1", "-seeds=127.0.0.1:1", "-probe-listen=127.0.0.1:2", "-data=" + t.TempDir()}
	code := Run("store", FromArgs(args), settings, func() (string, int64) { return "", settings.Ring }, func(context.Context, *Environment) error {
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	})
	if code != 0 {
		t.Fatalf("Run with a SIGHUP = exit code %d, want 0", code)
	}
}
