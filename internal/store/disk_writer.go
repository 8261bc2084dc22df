package store

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// Log is a disk as the daemon uses it: what Write returned for is synced.
type Log interface {
	Write(records []*schema.Record, whole bool) error
	Close() error
}

// retriesPerStallTimeout is how often, in a stall bound, a disk that refuses is asked again.
const retriesPerStallTimeout = 8

// openLogWithRetry opens the log, and writes the first record of an empty one. A disk that refuses is
// asked again until ctx ends; then it gives nil.
func openLogWithRetry(ctx context.Context, log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log) (Log, []*schema.Record) {
	for {
		recordLog, records, err := tryOpenLog(log, opts, cfg, wrapLog)
		if err == nil {
			return recordLog, records
		}
		log.Error(err, "the disk refuses; asking it again")
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(cfg.StallTimeout / retriesPerStallTimeout):
		}
	}
}

func tryOpenLog(log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log) (Log, []*schema.Record, error) {
	opened, records, err := Open(opts.Data)
	if err != nil && errs.CodeOf(err) == errs.DiskCorrupt {
		// Rot: the replica starts empty and is refilled by the others.
		log.Error(err, "log is corrupt and set aside; refilling from the other members")
		if err = SetAside(opts.Data); err == nil {
			opened, records, err = Open(opts.Data)
		}
	}
	if err != nil {
		return nil, nil, err
	}
	recordLog := wrapLog(opened)
	if len(records) == 0 {
		records = []*schema.Record{InitialRecord(cfg, randomIncarnation())}
		if err := recordLog.Write(records, true); err != nil {
			recordLog.Close()
			return nil, nil, err
		}
	}
	return recordLog, records, nil
}

// writeLoop syncs records in order; whatever piled up during one sync goes into the next.
func (s *Server) writeLoop(ctx context.Context, recordLog Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.writeSignal:
		}
		s.lock.Lock()
		batch := s.pendingWrites
		s.pendingWrites = nil
		s.lock.Unlock()
		// Records before a whole one can go, so each whole one closes its group.
		var records []*schema.Record
		for i, write := range batch {
			records = append(records, write.Record)
			if !write.ReplacesLog && i < len(batch)-1 {
				continue
			}
			if err := recordLog.Write(records, write.ReplacesLog); err != nil {
				s.log.Error(err, "the disk refuses a write; the whole state is written again until it takes it")
				if !s.rewriteSnapshot(ctx, recordLog) {
					return
				}
				break // what is left of the batch is in what was written
			}
			records = nil
			s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, write.WriteID) })
		}
	}
}

// rewriteSnapshot writes the whole state, again and again, to a disk that refused a write.
func (s *Server) rewriteSnapshot(ctx context.Context, recordLog Log) bool {
	for {
		s.step(func(now time.Duration) []Action { return s.replica.DiskFailed(now) })
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s.currentOptions().Stall) / retriesPerStallTimeout):
		}
		s.lock.Lock()
		// It stands for everything that waits to be written.
		s.pendingWrites = nil
		s.dispatchActions(s.replica.RewriteSnapshot(time.Since(s.started)))
		snapshot := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		s.lock.Unlock()
		if recordLog.Write([]*schema.Record{snapshot.Record}, true) == nil {
			s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, snapshot.WriteID) })
			return true
		}
	}
}
