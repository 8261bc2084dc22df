package daemon

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/flightrecorder"
	"meadowhinge/schema"
)

// settingsFixture is the settings file of a store, a watcher of it, and what the watcher applied and logged.
type settingsFixture struct {
	*testing.T
	file, data string
	writes     int
	recorder   *flightrecorder.Recorder
	watcher    *settingsWatcher
	applied    []*schema.StoreOptions
}

func newSettingsFixture(t *testing.T, lines string) *settingsFixture {
	t.Helper()
	f := &settingsFixture{T: t, data: t.TempDir(), recorder: flightrecorder.New(t.TempDir(), "store", 100)}
	f.file = filepath.Join(f.data, "settings")
	f.write(lines)
	initial, source := &schema.StoreOptions{}, FromArgs([]string{"-settings=" + f.file})
	loaded, err := source.load("store", initial, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	f.watcher = newSettingsWatcher("store", source, initial, loaded, nil, f.recorder.Logger())
	return f
}

// write writes the file, with a modification time of its own whatever the resolution of the clock.
func (f *settingsFixture) write(lines string) {
	f.Helper()
	text := "links plain\nseat a\nlisten 127.0.0.1:1\nprobe-listen 127.0.0.1:2\ndata " + f.data + "\n" + lines
	if err := os.WriteFile(f.file, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	f.writes++
	modifiedAt := time.Unix(int64(1000*f.writes), 0)
	if err := os.Chtimes(f.file, modifiedAt, modifiedAt); err != nil {
		f.Fatal(err)
	}
}

func (f *settingsFixture) apply(now proto.Message) {
	f.applied = append(f.applied, now.(*schema.StoreOptions))
}

// takeApplied gives the last settings applied since it was called last, nil for none, and what was logged meanwhile.
func (f *settingsFixture) takeApplied() (*schema.StoreOptions, string) {
	var applied *schema.StoreOptions
	if len(f.applied) > 0 {
		applied = f.applied[len(f.applied)-1]
	}
	lines := strings.Join(f.recorder.Lines(), "\n")
	f.applied, f.recorder = nil, flightrecorder.New(f.TempDir(), "store", 100)
	f.watcher.log = f.recorder.Logger()
	return applied, lines
}

// Changed live settings are applied; other changed settings are logged and stay as they were at start.
func TestChangedSettingsAreApplied(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\nsilence 2s\n")
	f.write("seeds 127.0.0.1:4\nsilence 3s\nlosses 2\n")
	f.watcher.reload(f.apply)
	now, lines := f.takeApplied()
	if now == nil || now.Seeds != "127.0.0.1:4" || now.Silence != int64(3*time.Second) || now.Losses != 1 || now.Stall != int64(2*time.Second) {
		t.Errorf("applied: %v", now)
	}
	for _, wanted := range []string{`"changed"=["seeds" "silence"]`, `"settings"=["losses"]`} {
		if !strings.Contains(strings.ReplaceAll(lines, ",", " "), wanted) {
			t.Errorf("%s is not in %s", wanted, lines)
		}
	}
	// The same settings change nothing; a setting that is left out gets its default again.
	f.watcher.reload(f.apply)
	if now, _ := f.takeApplied(); now != nil {
		t.Errorf("applied though unchanged: %v", now)
	}
	f.write("seeds 127.0.0.1:4\n")
	f.watcher.reload(f.apply)
	if now, lines := f.takeApplied(); now == nil || now.Silence != int64(1500*time.Millisecond) || strings.Contains(lines, "losses") {
		t.Errorf("applied: %v, logged: %s", now, lines)
	}
}

// If any setting is bad, none is applied and every bad one is logged; the next valid file is applied.
func TestFaultySettingsChangeNothing(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	for _, test := range []struct {
		lines string
		named []string
	}{
		{"seeds 127.0.0.1:4\nsilence 1ms\nstall soon\n", []string{"silence: 1ms is outside", "stall: "}},
		{"seeds here\nsilence 3s\n", []string{"seeds: "}},
		{"seeds 127.0.0.1:4\ncolour red\n", []string{"colour"}},
		{"silence 3s\n", []string{"seeds: is required"}},
	} {
		f.write(test.lines)
		f.watcher.reload(f.apply)
		now, lines := f.takeApplied()
		for _, name := range append(test.named, "BAD_OPTIONS") {
			if now != nil || !strings.Contains(lines, name) {
				t.Errorf("%q: applied %v, and %q is not in %s", test.lines, now, name, lines)
			}
		}
	}
	if err := os.Remove(f.file); err != nil {
		t.Fatal(err)
	}
	f.watcher.poll(f.apply)
	f.watcher.poll(f.apply)
	if now, lines := f.takeApplied(); now != nil || !strings.Contains(lines, f.file) {
		t.Errorf("without a file: applied %v, logged %s", now, lines)
	}
	f.watcher.poll(f.apply)
	if _, lines := f.takeApplied(); lines != "" {
		t.Errorf("the same faults are logged again: %s", lines)
	}
	f.write("seeds 127.0.0.1:5\n")
	f.watcher.poll(f.apply)
	f.watcher.poll(f.apply)
	if now, _ := f.takeApplied(); now == nil || now.Seeds != "127.0.0.1:5" {
		t.Errorf("applied: %v", now)
	}
}

// A file is reloaded only after it changed, and only once it is the same at two polls.
func TestSettingsFilePolling(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read, reads := f.watcher.source.Read, 0
	f.watcher.source.Read = func() (SourceSettings, error) {
		reads++
		return read()
	}
	poll := func(wanted int, why string) {
		t.Helper()
		if f.watcher.poll(f.apply); reads != wanted {
			t.Fatalf("%s: read %d times, not %d", why, reads, wanted)
		}
	}
	poll(0, "nothing has changed")
	f.write("seeds 127.0.0.1:4\n")
	poll(0, "it may still be written")
	f.write("seeds 127.0.0.1:4\nsilence 2s\n")
	poll(0, "it was still being written")
	poll(1, "it is complete")
	poll(1, "it was read")
	if now, _ := f.takeApplied(); now == nil || now.Silence != int64(2*time.Second) || now.Seeds != "127.0.0.1:4" {
		t.Errorf("applied: %v", now)
	}
}

// A change of what has an effect besides the settings is logged as pending a restart.
func TestRestartOnlySettingsAreLogged(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read := f.watcher.source.Read
	f.watcher.source.Read = func() (SourceSettings, error) {
		source, err := read()
		source.RestartOnly = map[string]string{"beat": "2s"}
		return source, err
	}
	f.watcher.initialRestartOnly = map[string]string{"beat": "1s"}
	f.watcher.reload(f.apply)
	if now, lines := f.takeApplied(); now != nil || !strings.Contains(lines, `"settings"=["beat"]`) {
		t.Errorf("applied %v, logged %s", now, lines)
	}
}

// SIGHUP reloads the file at once, while the program runs.
func TestSIGHUPReloadsSettings(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	settings := &schema.StoreOptions{}
	var shown []string
	recorderOptions := func() (string, int64) { return settings.Data, settings.Ring }
	body := func(ctx context.Context, environment *Environment) error {
		applied := make(chan *schema.StoreOptions)
		environment.WatchSettings(ctx, time.Hour, func(now proto.Message) { applied <- now.(*schema.StoreOptions) })
		for _, seeds := range []string{"127.0.0.1:4", "127.0.0.1:5"} {
			f.write("seeds " + seeds + "\n")
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				return err
			}
			shown = append(shown, (<-applied).Seeds)
		}
		return nil
	}
	code := Run("store", FromArgs([]string{"-settings=" + f.file}), settings, recorderOptions, body)
	if code != 0 || !slices.Equal(shown, []string{"127.0.0.1:4", "127.0.0.1:5"}) || settings.Seeds != "127.0.0.1:3" {
		t.Errorf("exit code %d, applied %v, at start %s", code, shown, settings.Seeds)
	}
}
