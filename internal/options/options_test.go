package options

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

// Every bad setting is named in one go, and the exit code is 2.
func TestEveryBadSettingIsNamed(t *testing.T) {
	given := &schema.StoreOptions{}
	err := Parse("store", []string{"-seat", "a", "-listen", "localhost:1", "-seeds", "1,2", "-silence", "1ms", "-buffer", "many", "-data", t.TempDir(),
		"-certificate", "/nowhere", "-probe-listen", "127.0.0.1:1"}, given, &bytes.Buffer{})
	var complaint bytes.Buffer
	if code := ExitCode("store", err, &complaint); code != 2 {
		t.Errorf("exit code %d", code)
	}
	for _, name := range []string{"order: is required", "listen: ", "seeds: ", "silence: ", "buffer: ", "certificate: ", "authority: is required"} {
		if !strings.Contains(complaint.String(), name) {
			t.Errorf("%q is not named in:\n%s", name, complaint.String())
		}
	}
}

// Settings come from the file; flags go before it; the rest have their presets.
func TestFileFlagsAndPresets(t *testing.T) {
	folder := t.TempDir()
	pem, file := filepath.Join(folder, "pem"), filepath.Join(folder, "settings")
	_ = os.WriteFile(pem, nil, 0o600)
	_ = os.WriteFile(file, []byte("seat a\norder a,b,c\nlisten 127.0.0.1:1\nseeds 127.0.0.1:2\nprobe-listen 127.0.0.1:3\ncertificate "+pem+"\nauthority "+pem+"\ndata "+folder+"\nsilence 3s\nring 50\n"), 0o600)
	given := &schema.StoreOptions{}
	if err := Parse("store", []string{"-settings", file, "-ring", "60"}, given, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	if given.Silence != int64(3*time.Second) || given.Ring != 60 || given.EntriesMost != 512 {
		t.Errorf("got silence %d, ring %d, entries-most %d", given.Silence, given.Ring, given.EntriesMost)
	}
	var help bytes.Buffer
	if err := Parse("store", []string{"-help"}, given, &help); err != flag.ErrHelp || !strings.Contains(help.String(), "-entries-most") {
		t.Errorf("help gave %v: %s", err, help.String())
	}
	_ = os.WriteFile(file, []byte("colour red\n"), 0o600)
	if err := Parse("store", []string{"-settings", file}, given, &help); err == nil {
		t.Error("a setting that does not exist was taken")
	}
}
