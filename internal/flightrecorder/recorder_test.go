package flightrecorder

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestRecorderDumpsOnError checks that the recorder keeps the last lines, writes nothing until an error is logged and
// then writes all kept lines, and that unforced dumps are rate-limited.
func TestRecorderDumpsOnError(t *testing.T) {
	folder := t.TempDir()
	recorder := New(folder, "proxy", 5)
	fixedTime := time.Unix(1000, 0)
	recorder.now = func() time.Time { return fixedTime }
	log := recorder.Logger()
	for i := range 12 {
		log.V(1).Info("event", "number", i)
	}
	if files, _ := os.ReadDir(folder); len(files) > 0 {
		t.Errorf("%d files written before an error was logged, want none", len(files))
	}
	if lines := recorder.Lines(); len(lines) != 5 || !strings.Contains(lines[0], `"number"=7`) || !strings.Contains(lines[4], `"number"=11`) {
		t.Errorf("Lines() = %q, want the events 7 to 11", lines)
	}
	log.Error(errors.New("it broke"), "failed")
	text, err := os.ReadFile(filepath.Join(folder, "proxy.log"))
	if err != nil || strings.Count(string(text), "\n") != 5 || !strings.Contains(string(text), "it broke") {
		t.Errorf("dump after an error = %q, read error %v; want 5 lines, one of them with the error \"it broke\"", text, err)
	}
	// Errors within minDumpInterval of the last dump are not dumped until a dump is forced.
	for i := range 3 {
		log.Error(fmt.Errorf("again %d", i), "failed")
	}
	if text, _ := os.ReadFile(filepath.Join(folder, "proxy.log")); strings.Contains(string(text), "again") {
		t.Errorf("dump within minDumpInterval = %q, want the previous dump unchanged", text)
	}
	if err := recorder.Dump(true); err != nil {
		t.Errorf("Dump(true): %v", err)
	}
	if text, _ := os.ReadFile(filepath.Join(folder, "proxy.log")); !strings.Contains(string(text), "again 2") {
		t.Errorf("forced dump = %q, want it to contain the error \"again 2\"", text)
	}
}
