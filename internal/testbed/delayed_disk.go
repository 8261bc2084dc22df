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

// DelayedStoreCommand is the argument with which the testbed program runs the store's daemon on a disk that can be
// delayed. The store program itself has no such switch.
const DelayedStoreCommand = "stand-in-store"

// diskDelayFile holds how long each write to the disk takes at least, as a duration; without the file there is
// no delay.
const diskDelayFile = "disk"

// diskDelayPoll is how often a delayed write reads the file again.
const diskDelayPoll = 10 * time.Millisecond

// delayedDisk delays writes to the log below it by what a file says at the time.
type delayedDisk struct {
	store.Log
	delayFile string
}

// Write delays the write until the time in the file has passed since its call. A delay that is shortened ends
// earlier.
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

// RunDelayedStore runs the store's daemon on such a disk and returns its exit code.
func RunDelayedStore(file string, args []string) int {
	opts := &schema.StoreOptions{}
	return daemon.Run("store", daemon.FromArgs(args), opts,
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, frame *daemon.Environment) error {
			return store.Run(ctx, frame, opts, store.WithLogWrapper(func(disk store.Log) store.Log { return delayedDisk{disk, file} }))
		})
}

// setDiskDelay sets how long each write of a store takes at least; 0 for no delay.
func (p *Process) setDiskDelay(delay time.Duration) error {
	file := filepath.Join(filepath.Dir(p.settingsFile), diskDelayFile)
	return errs.Wrap(os.WriteFile(file, []byte(delay.String()), 0o640), errs.DiskFailed, file)
}
