package store

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// retriesPerStallTimeout divides the stall timeout into the delay before each retry on a failing disk.
const retriesPerStallTimeout = 8

// Log is the write-ahead log that the server uses; FileLog is the implementation in the programs. It is used by one
// goroutine at a time.
type Log interface {
	// Write appends records and returns once they are durable. With replacesLog the last of them is complete by
	// itself, and earlier ones may be dropped. After an error only a Write with replacesLog can succeed.
	Write(records []*schema.Record, replacesLog bool) error
	// Close releases the log. Records that were written stay durable.
	Close() error
}

// openLogWithRetry opens the log and returns its records, of which there is at least one. It retries until it succeeds
// or ctx ends; the only error is that of ctx.
func openLogWithRetry(
	ctx context.Context, log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log,
) (Log, []*schema.Record, error) {
	for {
		recordLog, records, err := openOrCreateLog(log, opts, cfg, wrapLog)
		if err == nil {
			return recordLog, records, nil
		}
		retryAfter := cfg.StallTimeout / retriesPerStallTimeout
		log.Error(err, "opening the replica log failed, retrying", "dataDir", opts.Data, "retryAfter", retryAfter.String())
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(retryAfter):
		}
	}
}

// openOrCreateLog opens the log. If the data folder is empty, it writes the initial record with a new incarnation. A
// corrupt log is first moved aside: the replica then starts empty and is restored from the other members.
func openOrCreateLog(log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log) (Log, []*schema.Record, error) {
	opened, records, err := Open(opts.Data)
	if err != nil && errs.CodeOf(err) == errs.DiskCorrupt {
		log.Error(err, "replica log is corrupt, moving it aside and restoring from the other members", "dataDir", opts.Data)
		if err = QuarantineLog(opts.Data); err == nil {
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
			_ = recordLog.Close() // the write's error is the one to report
			return nil, nil, err
		}
	}
	return recordLog, records, nil
}

// writeLoop is the disk writer: it makes records durable in order until ctx ends. Records that arrive during one write
// are written together by the next (group commit), so the rate of syncs does not limit the rate of changes.
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
		if !s.writeBatch(ctx, recordLog, batch) {
			return
		}
	}
}

// writeBatch writes a batch and reports to the replica what is durable. The batch is split after each record that
// replaces the log, as only the last record of a Log.Write can do so. writeBatch returns false if ctx ended.
func (s *Server) writeBatch(ctx context.Context, recordLog Log, batch []Persist) bool {
	var records []*schema.Record
	for i, write := range batch {
		records = append(records, write.Record)
		if !write.ReplacesLog && i < len(batch)-1 {
			continue
		}
		if err := recordLog.Write(records, write.ReplacesLog); err != nil {
			s.log.Error(err, "replica log write failed, rewriting snapshot until it succeeds", "records", len(records))
			return s.rewriteSnapshot(ctx, recordLog) // the snapshot includes the rest of the batch
		}
		records = nil
		s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, write.WriteID) })
	}
	return true
}

// rewriteSnapshot writes a complete snapshot to a log whose last write failed. It retries until it succeeds, or returns
// false if ctx ended.
func (s *Server) rewriteSnapshot(ctx context.Context, recordLog Log) bool {
	for {
		s.step(s.diskFailed)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s.currentOptions().Stall) / retriesPerStallTimeout):
		}
		snapshot := s.takeSnapshotWrite()
		if recordLog.Write([]*schema.Record{snapshot.Record}, true) == nil {
			s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, snapshot.WriteID) })
			return true
		}
	}
}

// diskFailed is the event that reports a failed write to the replica.
func (s *Server) diskFailed(now time.Duration) []Action { return s.replica.DiskFailed(now) }

// takeSnapshotWrite replaces the queue of pending writes with a snapshot of the replica, and takes that write out of the
// queue.
func (s *Server) takeSnapshotWrite() Persist {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.pendingWrites = nil
	s.dispatchActions(s.replica.RewriteSnapshot(time.Since(s.started)))
	snapshot := s.pendingWrites[0]
	s.pendingWrites = s.pendingWrites[1:]
	return snapshot
}
