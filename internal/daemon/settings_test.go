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

	"meadowhinge/internal/ring"
	"meadowhinge/schema"
)

// followed is a store's settings file, and what becomes of it.
type followed struct {
	*testing.T
	file, data string
	writes     int
	ring       *ring.Ring
	settings   *settings
	taken      []*schema.StoreOptions
}

func follow(t *testing.T, lines string) *followed {
	t.Helper()
	f := &followed{T: t, data: t.TempDir(), ring: ring.New(t.TempDir(), "store", 100)}
	f.file = filepath.Join(f.data, "settings")
	f.write(lines)
	started, source := &schema.StoreOptions{}, Given([]string{"-settings=" + f.file})
	read, err := source.read("store", started, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	f.settings = newSettings("store", source, started, read, nil, f.ring.Logger())
	return f
}

// write gives the file other settings, and a time of its own whatever the clock's steps are.
func (f *followed) write(lines string) {
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

func (f *followed) take(now proto.Message) { f.taken = append(f.taken, now.(*schema.StoreOptions)) }

// last gives what was taken since it was asked last, and what was logged meanwhile.
func (f *followed) last() (*schema.StoreOptions, string) {
	var taken *schema.StoreOptions
	if len(f.taken) > 0 {
		taken = f.taken[len(f.taken)-1]
	}
	lines := strings.Join(f.ring.Lines(), "\n")
	f.taken, f.ring = nil, ring.New(f.TempDir(), "store", 100)
	f.settings.log = f.ring.Logger()
	return taken, lines
}

// What may change while a program runs does, what may not is named, and stays.
func TestChangedSettingsAreTaken(t *testing.T) {
	f := follow(t, "seeds 127.0.0.1:3\nsilence 2s\n")
	f.write("seeds 127.0.0.1:4\nsilence 3s\nlosses 2\n")
	f.settings.load(f.take)
	now, lines := f.last()
	if now == nil || now.Seeds != "127.0.0.1:4" || now.Silence != int64(3*time.Second) || now.Losses != 1 || now.Stall != int64(2*time.Second) {
		t.Errorf("taken: %v", now)
	}
	for _, wanted := range []string{`"changed"=["seeds" "silence"]`, `"settings"=["losses"]`} {
		if !strings.Contains(strings.ReplaceAll(lines, ",", " "), wanted) {
			t.Errorf("%s is not in %s", wanted, lines)
		}
	}
	// The same once more changes nothing; a setting left out has its preset again.
	f.settings.load(f.take)
	if now, _ := f.last(); now != nil {
		t.Errorf("taken though the same: %v", now)
	}
	f.write("seeds 127.0.0.1:4\n")
	f.settings.load(f.take)
	if now, lines := f.last(); now == nil || now.Silence != int64(1500*time.Millisecond) || strings.Contains(lines, "losses") {
		t.Errorf("taken: %v, logged: %s", now, lines)
	}
}

// A faulty file is refused as a whole, every bad field is named, and the next good one is taken.
func TestFaultySettingsChangeNothing(t *testing.T) {
	f := follow(t, "seeds 127.0.0.1:3\n")
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
		f.settings.load(f.take)
		now, lines := f.last()
		for _, name := range append(one.named, "BAD_OPTIONS") {
			if now != nil || !strings.Contains(lines, name) {
				t.Errorf("%q: taken %v, and %q is not in %s", one.lines, now, name, lines)
			}
		}
	}
	if err := os.Remove(f.file); err != nil {
		t.Fatal(err)
	}
	f.settings.look(f.take)
	f.settings.look(f.take)
	if now, lines := f.last(); now != nil || !strings.Contains(lines, f.file) {
		t.Errorf("without a file: taken %v, logged %s", now, lines)
	}
	f.settings.look(f.take)
	if _, lines := f.last(); lines != "" {
		t.Errorf("the same is said again: %s", lines)
	}
	f.write("seeds 127.0.0.1:5\n")
	f.settings.look(f.take)
	f.settings.look(f.take)
	if now, _ := f.last(); now == nil || now.Seeds != "127.0.0.1:5" {
		t.Errorf("taken: %v", now)
	}
}

// A file is read again only if it is another, and only once it is the same at two looks.
func TestLooksAtSettings(t *testing.T) {
	f := follow(t, "seeds 127.0.0.1:3\n")
	read, reads := f.settings.source.Read, 0
	f.settings.source.Read = func() (Reading, error) {
		reads++
		return read()
	}
	look := func(wanted int, why string) {
		t.Helper()
		if f.settings.look(f.take); reads != wanted {
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
	if now, _ := f.last(); now == nil || now.Silence != int64(2*time.Second) || now.Seeds != "127.0.0.1:4" {
		t.Errorf("taken: %v", now)
	}
}

// What goes past the settings is named once it is another than at the start.
func TestRestIsNamed(t *testing.T) {
	f := follow(t, "seeds 127.0.0.1:3\n")
	read := f.settings.source.Read
	f.settings.source.Read = func() (Reading, error) {
		made, err := read()
		made.Rest = map[string]string{"beat": "2s"}
		return made, err
	}
	f.settings.first = map[string]string{"beat": "1s"}
	f.settings.load(f.take)
	if now, lines := f.last(); now != nil || !strings.Contains(lines, `"settings"=["beat"]`) {
		t.Errorf("taken %v, logged %s", now, lines)
	}
}

// SIGHUP has the file read at once, while the program runs.
func TestSignalHasSettingsRead(t *testing.T) {
	f := follow(t, "seeds 127.0.0.1:3\n")
	given := &schema.StoreOptions{}
	var shown []string
	code := Run("store", Given([]string{"-settings=" + f.file}), given, func() (string, int64) { return given.Data, given.Ring }, func(ctx context.Context, frame *Frame) error {
		taken := make(chan *schema.StoreOptions)
		frame.Follow(ctx, time.Hour, func(now proto.Message) { taken <- now.(*schema.StoreOptions) })
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
