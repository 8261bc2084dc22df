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

// settingsFixture has the settings file of a store and a watcher of the file.
type settingsFixture struct {
	*testing.T
	file, data string // settings file, and the folder that it names
	writes     int    // number of times that the file was written
	recorder   *flightrecorder.Recorder
	watcher    *settingsWatcher
	applied    []*schema.StoreOptions // settings that the watcher applied since takeApplied was called last
}

// newSettingsFixture writes the settings file with lines in addition to the required settings, and loads it.
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

// write replaces the settings file. Each write has a different modification time, whatever the resolution of the clock.
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

// apply is the function that the watcher calls with changed settings.
func (f *settingsFixture) apply(updated proto.Message) {
	f.applied = append(f.applied, updated.(*schema.StoreOptions))
}

// takeApplied returns the settings that were applied last, nil if none were, and the log lines, both since takeApplied
// was called last.
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

// A reload applies changed live settings. It logs other changed settings, which keep their values from program start.
func TestReloadAppliesLiveSettings(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\nsilence 2s\n")
	f.write("seeds 127.0.0.1:4\nsilence 3s\nlosses 2\n")
	f.watcher.reload(f.apply)
	updated, lines := f.takeApplied()
	if updated == nil || updated.Seeds != "127.0.0.1:4" || updated.Silence != int64(3*time.Second) || updated.Losses != 1 || updated.Stall != int64(2*time.Second) {
		t.Errorf("reload applied %v, want seeds 127.0.0.1:4, silence 3s, losses 1 and stall 2s", updated)
	}
	for _, wanted := range []string{`"changed"=["seeds" "silence"]`, `"settings"=["losses"]`} {
		if !strings.Contains(strings.ReplaceAll(lines, ",", " "), wanted) {
			t.Errorf("reload did not log %s; log:\n%s", wanted, lines)
		}
	}
	// A reload of the same settings applies nothing. A setting that is left out gets its default again.
	f.watcher.reload(f.apply)
	if updated, _ := f.takeApplied(); updated != nil {
		t.Errorf("reload of the same settings applied %v, want nothing", updated)
	}
	f.write("seeds 127.0.0.1:4\n")
	f.watcher.reload(f.apply)
	if updated, lines := f.takeApplied(); updated == nil || updated.Silence != int64(1500*time.Millisecond) || strings.Contains(lines, "losses") {
		t.Errorf("reload without silence and losses applied %v, want silence 1.5s; log, which must not name losses:\n%s", updated, lines)
	}
}

// If any setting is invalid, none is applied and all invalid ones are logged. The next valid file is applied.
func TestInvalidSettingsAreNotApplied(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	for _, test := range []struct {
		lines  string
		logged []string
	}{
		{"seeds 127.0.0.1:4\nsilence 1ms\nstall soon\n", []string{"silence: 1ms is outside", "stall: "}},
		{"seeds here\nsilence 3s\n", []string{"seeds: "}},
		{"seeds 127.0.0.1:4\ncolour red\n", []string{"colour"}},
		{"silence 3s\n", []string{"seeds: is required"}},
	} {
		f.write(test.lines)
		f.watcher.reload(f.apply)
		updated, lines := f.takeApplied()
		for _, wanted := range append(test.logged, "BAD_OPTIONS") {
			if updated != nil || !strings.Contains(lines, wanted) {
				t.Errorf("reload of %q applied %v, want nothing; log, which must contain %q:\n%s", test.lines, updated, wanted, lines)
			}
		}
	}
	if err := os.Remove(f.file); err != nil {
		t.Fatal(err)
	}
	f.watcher.poll(f.apply)
	f.watcher.poll(f.apply)
	if updated, lines := f.takeApplied(); updated != nil || !strings.Contains(lines, f.file) {
		t.Errorf("two polls after the file was removed applied %v, want nothing; log, which must name %s:\n%s", updated, f.file, lines)
	}
	f.watcher.poll(f.apply)
	if _, lines := f.takeApplied(); lines != "" {
		t.Errorf("third poll after the file was removed logged, want nothing:\n%s", lines)
	}
	f.write("seeds 127.0.0.1:5\n")
	f.watcher.poll(f.apply)
	f.watcher.poll(f.apply)
	if updated, _ := f.takeApplied(); updated == nil || updated.Seeds != "127.0.0.1:5" {
		t.Errorf("two polls after a valid file was written applied %v, want seeds 127.0.0.1:5", updated)
	}
}

// Polling reloads a file only after it changed, and only once it is the same at two polls.
func TestPollWaitsForCompleteFile(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read, reads := f.watcher.source.Read, 0
	f.watcher.source.Read = func() (SettingsReading, error) {
		reads++
		return read()
	}
	poll := func(wantReads int, file string) {
		t.Helper()
		if f.watcher.poll(f.apply); reads != wantReads {
			t.Fatalf("poll of a file that %s: settings were read %d times in all, want %d", file, reads, wantReads)
		}
	}
	poll(0, "has not changed")
	f.write("seeds 127.0.0.1:4\n")
	poll(0, "has changed since the last poll")
	f.write("seeds 127.0.0.1:4\nsilence 2s\n")
	poll(0, "has changed again since the last poll")
	poll(1, "is the same as at the last poll")
	poll(1, "was read and has not changed since")
	if updated, _ := f.takeApplied(); updated == nil || updated.Silence != int64(2*time.Second) || updated.Seeds != "127.0.0.1:4" {
		t.Errorf("polling applied %v, want seeds 127.0.0.1:4 and silence 2s", updated)
	}
}

// A reload logs the names in SettingsReading.RestartOnly whose values changed as pending a restart, and applies
// nothing.
func TestRestartOnlyChangesAreLogged(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read := f.watcher.source.Read
	f.watcher.source.Read = func() (SettingsReading, error) {
		source, err := read()
		source.RestartOnly = map[string]string{"beat": "2s"}
		return source, err
	}
	f.watcher.initialRestartOnly = map[string]string{"beat": "1s"}
	f.watcher.reload(f.apply)
	if updated, lines := f.takeApplied(); updated != nil || !strings.Contains(lines, `"settings"=["beat"]`) {
		t.Errorf("reload applied %v, want nothing; log, which must contain \"settings\"=[\"beat\"]:\n%s", updated, lines)
	}
}

// SIGHUP reloads the file at once, without a poll, while the program runs.
func TestSIGHUPReloadsSettings(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	settings := &schema.StoreOptions{}
	var appliedSeeds []string
	recorderOptions := func() (string, int64) { return settings.Data, settings.Ring }
	body := func(ctx context.Context, environment *Environment) error {
		applied := make(chan *schema.StoreOptions)
		environment.WatchSettings(ctx, time.Hour, func(updated proto.Message) { applied <- updated.(*schema.StoreOptions) })
		for _, seeds := range []string{"127.0.0.1:4", "127.0.0.1:5"} {
			f.write("seeds " + seeds + "\n")
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				return err
			}
			appliedSeeds = append(appliedSeeds, (<-applied).Seeds)
		}
		return nil
	}
	code := Run("store", FromArgs([]string{"-settings=" + f.file}), settings, recorderOptions, body)
	if code != 0 || !slices.Equal(appliedSeeds, []string{"127.0.0.1:4", "127.0.0.1:5"}) || settings.Seeds != "127.0.0.1:3" {
		t.Errorf("Run = exit code %d, want 0; applied seeds %v, want 127.0.0.1:4, then 127.0.0.1:5; seeds at start %s, want 127.0.0.1:3",
			code, appliedSeeds, settings.Seeds)
	}
}
