package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

	"meadowhinge/schema"
)

// Word that a settings file changed does not end a program.
func TestSIGHUPDoesNotStopProgram(t *testing.T) {
	given := &schema.StoreOptions{}
	args := []string{"-links=plain", "-seat=s", "-listen=127.0.0.1:1", "-seeds=127.0.0.1:1", "-probe-listen=127.0.0.1:2", "-data=" + t.TempDir()}
	code := Run("store", FromArgs(args), given, func() (string, int64) { return "", given.Ring }, func(context.Context, *Environment) error {
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	})
	if code != 0 {
		t.Fatalf("left with %d", code)
	}
}
