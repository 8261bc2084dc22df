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

// The recorder keeps the last lines, writes nothing until an error is logged, and then writes them all.
func TestRecorder(t *testing.T) {
	folder := t.TempDir()
	recorder := New(folder, "proxy", 5)
	fixedTime := time.Unix(1000, 0)
	recorder.now = func() time.Time { return fixedTime }
	log := recorder.Logger()
	for i := range 12 {
		log.V(1).Info("event", "number", i)
	}
	if files, _ := os.ReadDir(folder); len(files) > 0 {
		t.Error("lines were written without an error")
	}
	if lines := recorder.Lines(); len(lines) != 5 || !strings.Contains(lines[0], `"number"=7`) || !strings.Contains(lines[4], `"number"=11`) {
		t.Errorf("kept %q", lines)
	}
	log.Error(errors.New("it broke"), "failed")
	text, err := os.ReadFile(filepath.Join(folder, "proxy.log"))
	if err != nil || strings.Count(string(text), "\n") != 5 || !strings.Contains(string(text), "it broke") {
		t.Errorf("wrote %q, %v", text, err)
	}
	// Many errors at once are dumped once, until a dump is forced.
	for i := range 3 {
		log.Error(fmt.Errorf("again %d", i), "failed")
	}
	if text, _ := os.ReadFile(filepath.Join(folder, "proxy.log")); strings.Contains(string(text), "again") {
		t.Error("each of many errors at once was dumped")
	}
	if err := recorder.Dump(true); err != nil {
		t.Error(err)
	}
	if text, _ := os.ReadFile(filepath.Join(folder, "proxy.log")); !strings.Contains(string(text), "again 2") {
		t.Error("a forced dump was not written")
	}
}
