package rehearsal

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

// StandInStore is the word by which rehearsal runs the store's own daemon on a disk that can
// be made slow. The store program itself has no switch for that.
const StandInStore = "stand-in-store"

// diskFile holds how long each sync takes besides, as a duration; no file means nothing.
const diskFile = "disk"

// stallCheck is how often a stalled disk looks whether it still is.
const stallCheck = 10 * time.Millisecond

// slowDisk delays what is written to the disk below it by what a file says at the time.
type slowDisk struct {
	store.Log
	file string
}

func (d slowDisk) Write(records []*schema.Record, whole bool) error {
	began := time.Now()
	for {
		text, _ := os.ReadFile(d.file)
		wait, _ := time.ParseDuration(string(text))
		left := wait - time.Since(began)
		if left <= 0 {
			return d.Log.Write(records, whole)
		}
		time.Sleep(min(left, stallCheck))
	}
}

// RunStandInStore is the store's daemon on such a disk; it gives the exit code.
func RunStandInStore(file string, args []string) int {
	given := &schema.StoreOptions{}
	return daemon.Run("store", daemon.FromArgs(args), given,
		func() (string, int64) { return given.Data, given.Ring },
		func(ctx context.Context, frame *daemon.Environment) error {
			return store.Run(ctx, frame, given, store.WithLogWrapper(func(disk store.Log) store.Log { return slowDisk{disk, file} }))
		})
}

// slowDisk makes every sync of a store take longer; 0 makes its disk whole again.
func (p *Process) slowDisk(by time.Duration) error {
	file := filepath.Join(filepath.Dir(p.settingsFile), diskFile)
	return errs.Wrap(os.WriteFile(file, []byte(by.String()), 0o640), errs.DiskFailed, file)
}
