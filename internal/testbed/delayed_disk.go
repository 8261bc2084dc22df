package testbed

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// DelayedStoreCommand is the word by which rehearsal runs the store's own daemon on a disk that can
// be made slow. The store program itself has no switch for that.
const DelayedStoreCommand = "stand-in-store"

// diskDelayFile holds how long each sync takes besides, as a duration; no file means nothing.
const diskDelayFile = "disk"

// diskDelayPoll is how often a stalled disk looks whether it still is.
const diskDelayPoll = 10 * time.Millisecond

// delayedDisk delays what is written to the disk below it by what a file says at the time.
type delayedDisk struct {
	store.Log
	delayFile string
}

func (d delayedDisk) Write(records []*schema.Record, replacesLog bool) error {
	began := time.Now()
	for {
		text, _ := os.ReadFile(d.delayFile)
		wait, _ := time.ParseDuration(string(text))
		remaining := wait - time.Since(began)
		if remaining <= 0 {
			return d.Log.Write(records, replacesLog)
		}
		time.Sleep(min(remaining, diskDelayPoll))
	}
}

// RunDelayedStore is the store's daemon on such a disk; it gives the exit code.
func RunDelayedStore(file string, args []string) int {
	opts := &schema.StoreOptions{}
	return daemon.Run("store", daemon.FromArgs(args), opts,
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, frame *daemon.Environment) error {
			return store.Run(ctx, frame, opts, store.WithLogWrapper(func(disk store.Log) store.Log { return delayedDisk{disk, file} }))
		})
}

// setDiskDelay makes every sync of a store take longer; 0 makes its disk whole again.
func (p *Process) setDiskDelay(delay time.Duration) error {
	file := filepath.Join(filepath.Dir(p.settingsFile), diskDelayFile)
	return errs.Wrap(os.WriteFile(file, []byte(delay.String()), 0o640), errs.DiskFailed, file)
}
