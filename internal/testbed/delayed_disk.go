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

// DelayedStoreCommand is the subcommand of the testbed program that runs the store's daemon on a disk that can be
// delayed. The store program itself has no such switch.
const DelayedStoreCommand = "stand-in-store"

// diskDelayFile is the name of the file that holds the minimum duration of each write to a store's disk, in the syntax
// of time.ParseDuration. Without the file there is no delay.
const diskDelayFile = "disk"

// diskDelayPoll is the time after which a delayed write reads the file again.
const diskDelayPoll = 10 * time.Millisecond

// delayedDisk is a store.Log that delays the writes to the log that it wraps.
type delayedDisk struct {
	store.Log
	delayFile string // path of the file with the delay; see diskDelayFile
}

// Write waits until the call has lasted as long as the file says, then writes. It keeps reading the file, so that a
// shorter delay takes effect at once.
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

// RunDelayedStore runs the store's daemon with the given arguments on a disk that is delayed by the content of file; see
// diskDelayFile. It returns the exit code of the daemon.
func RunDelayedStore(file string, args []string) int {
	opts := &schema.StoreOptions{}
	return daemon.Run("store", daemon.FromArgs(args), opts,
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, environment *daemon.Environment) error {
			return store.Run(ctx, environment, opts, store.WithLogWrapper(func(disk store.Log) store.Log { return delayedDisk{disk, file} }))
		})
}

// setDiskDelay sets the minimum duration of each write of a store that runs on a delayed disk; 0 for no delay.
func (p *Process) setDiskDelay(delay time.Duration) error {
	file := filepath.Join(filepath.Dir(p.settingsFile), diskDelayFile)
	return errs.Wrap(os.WriteFile(file, []byte(delay.String()), 0o640), errs.DiskFailed, file)
}
