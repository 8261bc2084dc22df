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

// settingsFixture is a store's settings file, and what becomes of it.
type settingsFixture struct {
	*testing.T
	file, data string
	writes     int
	recorder   *flightrecorder.Recorder
	settings   *settings
	applied    []*schema.StoreOptions
}

func newSettingsFixture(t *testing.T, lines string) *settingsFixture {
	t.Helper()
	f := &settingsFixture{T: t, data: t.TempDir(), recorder: flightrecorder.New(t.TempDir(), "store", 100)}
	f.file = filepath.Join(f.data, "settings")
	f.write(lines)
	started, source := &schema.StoreOptions{}, FromArgs([]string{"-settings=" + f.file})
	read, err := source.load("store", started, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	f.settings = newSettings("store", source, started, read, nil, f.recorder.Logger())
	return f
}

// write gives the file other settings, and a time of its own whatever the clock's steps are.
func (f *settingsFixture) write(lines string) {
	f.Helper()
	text := "links plain\nseat a\nlisten 127.0.0.1:1\nprobe-listen 127.0.0.1:2\ndata " + f.data + "\n" + lines
	if err := os.WriteFile(f.file, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	f.writes++
	at := time.Unix(int64(1000*f.writes), 0)
	if err := os.Chtimes(f.file, at, at); err != nil {
		f.Fatal(err)
	}
}

func (f *settingsFixture) apply(now proto.Message) {
	f.applied = append(f.applied, now.(*schema.StoreOptions))
}

// takeApplied gives what was taken since it was asked last, and what was logged meanwhile.
func (f *settingsFixture) takeApplied() (*schema.StoreOptions, string) {
	var applied *schema.StoreOptions
	if len(f.applied) > 0 {
		applied = f.applied[len(f.applied)-1]
	}
	lines := strings.Join(f.recorder.Lines(), "\n")
	f.applied, f.recorder = nil, flightrecorder.New(f.TempDir(), "store", 100)
	f.settings.log = f.recorder.Logger()
	return applied, lines
}

// What may change while a program runs does, what may not is named, and stays.
func TestChangedSettingsAreApplied(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\nsilence 2s\n")
	f.write("seeds 127.0.0.1:4\nsilence 3s\nlosses 2\n")
	f.settings.reload(f.apply)
	now, lines := f.takeApplied()
	if now == nil || now.Seeds != "127.0.0.1:4" || now.Silence != int64(3*time.Second) || now.Losses != 1 || now.Stall != int64(2*time.Second) {
		t.Errorf("taken: %v", now)
	}
	for _, wanted := range []string{`"changed"=["seeds" "silence"]`, `"settings"=["losses"]`} {
		if !strings.Contains(strings.ReplaceAll(lines, ",", " "), wanted) {
			t.Errorf("%s is not in %s", wanted, lines)
		}
	}
	// The same once more changes nothing; a setting left out has its preset again.
	f.settings.reload(f.apply)
	if now, _ := f.takeApplied(); now != nil {
		t.Errorf("taken though the same: %v", now)
	}
	f.write("seeds 127.0.0.1:4\n")
	f.settings.reload(f.apply)
	if now, lines := f.takeApplied(); now == nil || now.Silence != int64(1500*time.Millisecond) || strings.Contains(lines, "losses") {
		t.Errorf("taken: %v, logged: %s", now, lines)
	}
}

// A faulty file is refused as a whole, every bad field is named, and the next good one is taken.
func TestFaultySettingsChangeNothing(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	for _, one := range []struct {
		lines string
		named []string
	}{
		{"seeds 127.0.0.1:4\nsilence 1ms\nstall soon\n", []string{"silence: 1ms is outside", "stall: "}},
		{"seeds here\nsilence 3s\n", []string{"seeds: "}},
		{"seeds 127.0.0.1:4\ncolour red\n", []string{"colour"}},
		{"silence 3s\n", []string{"seeds: is required"}},
	} {
		f.write(one.lines)
		f.settings.reload(f.apply)
		now, lines := f.takeApplied()
		for _, name := range append(one.named, "BAD_OPTIONS") {
			if now != nil || !strings.Contains(lines, name) {
				t.Errorf("%q: taken %v, and %q is not in %s", one.lines, now, name, lines)
			}
		}
	}
	if err := os.Remove(f.file); err != nil {
		t.Fatal(err)
	}
	f.settings.poll(f.apply)
	f.settings.poll(f.apply)
	if now, lines := f.takeApplied(); now != nil || !strings.Contains(lines, f.file) {
		t.Errorf("without a file: taken %v, logged %s", now, lines)
	}
	f.settings.poll(f.apply)
	if _, lines := f.takeApplied(); lines != "" {
		t.Errorf("the same is said again: %s", lines)
	}
	f.write("seeds 127.0.0.1:5\n")
	f.settings.poll(f.apply)
	f.settings.poll(f.apply)
	if now, _ := f.takeApplied(); now == nil || now.Seeds != "127.0.0.1:5" {
		t.Errorf("taken: %v", now)
	}
}

// A file is read again only if it is another, and only once it is the same at two looks.
func TestSettingsFilePolling(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read, reads := f.settings.source.Read, 0
	f.settings.source.Read = func() (SourceSettings, error) {
		reads++
		return read()
	}
	look := func(wanted int, why string) {
		t.Helper()
		if f.settings.poll(f.apply); reads != wanted {
			t.Fatalf("%s: read %d times, not %d", why, reads, wanted)
		}
	}
	look(0, "nothing has changed")
	f.write("seeds 127.0.0.1:4\n")
	look(0, "it may still be written")
	f.write("seeds 127.0.0.1:4\nsilence 2s\n")
	look(0, "it was still being written")
	look(1, "it is whole")
	look(1, "it was read")
	if now, _ := f.takeApplied(); now == nil || now.Silence != int64(2*time.Second) || now.Seeds != "127.0.0.1:4" {
		t.Errorf("taken: %v", now)
	}
}

// What goes past the settings is named once it is another than at the start.
func TestRestartOnlySettingsAreLogged(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	read := f.settings.source.Read
	f.settings.source.Read = func() (SourceSettings, error) {
		made, err := read()
		made.RestartOnly = map[string]string{"beat": "2s"}
		return made, err
	}
	f.settings.initialRestartOnly = map[string]string{"beat": "1s"}
	f.settings.reload(f.apply)
	if now, lines := f.takeApplied(); now != nil || !strings.Contains(lines, `"settings"=["beat"]`) {
		t.Errorf("taken %v, logged %s", now, lines)
	}
}

// SIGHUP has the file read at once, while the program runs.
func TestSIGHUPReloadsSettings(t *testing.T) {
	f := newSettingsFixture(t, "seeds 127.0.0.1:3\n")
	given := &schema.StoreOptions{}
	var shown []string
	code := Run("store", FromArgs([]string{"-settings=" + f.file}), given, func() (string, int64) { return given.Data, given.Ring }, func(ctx context.Context, frame *Environment) error {
		taken := make(chan *schema.StoreOptions)
		frame.WatchSettings(ctx, time.Hour, func(now proto.Message) { taken <- now.(*schema.StoreOptions) })
		for _, seeds := range []string{"127.0.0.1:4", "127.0.0.1:5"} {
			f.write("seeds " + seeds + "\n")
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				return err
			}
			shown = append(shown, (<-taken).Seeds)
		}
		return nil
	})
	if code != 0 || !slices.Equal(shown, []string{"127.0.0.1:4", "127.0.0.1:5"}) || given.Seeds != "127.0.0.1:3" {
		t.Errorf("left with %d, taken %v, at the start %s", code, shown, given.Seeds)
	}
}
