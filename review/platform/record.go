//go:build review

package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the account of a case: what was sent, answered and run, and what happened to processes.
type Record struct {
	lock    sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Event writes one line with the present time.
func (r *Record) Event(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
