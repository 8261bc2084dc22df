package options

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// All bad settings are named at once, and the exit code is 2.
func TestEveryBadSettingIsNamed(t *testing.T) {
	settings := &schema.StoreOptions{}
	err := Parse("store", []string{"-seat", "a", "-listen", "localhost:1", "-seeds", "1,2", "-silence", "1ms", "-buffer", "many", "-data", t.TempDir(),
		"-certificate", "/nowhere", "-probe-listen", "127.0.0.1:1"}, settings, &bytes.Buffer{})
	var output bytes.Buffer
	if code := ExitCode("store", err, &output); code != 2 {
		t.Errorf("exit code %d", code)
	}
	for _, name := range []string{"order: is required", "listen: ", "seeds: ", "silence: ", "buffer: ", "certificate: ", "authority: is required"} {
		if !strings.Contains(output.String(), name) {
			t.Errorf("%q is not named in:\n%s", name, output.String())
		}
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Flags take precedence over the settings file, and the file over the defaults.
func TestFileFlagsAndPresets(t *testing.T) {
	folder := t.TempDir()
	pem, file := filepath.Join(folder, "pem"), filepath.Join(folder, "settings")
	writeFile(t, pem, "")
	writeFile(t, file, "seat a\norder a,b,c\nlisten 127.0.0.1:1\nseeds 127.0.0.1:2\nprobe-listen 127.0.0.1:3\ncertificate "+pem+"\nauthority "+pem+"\ndata "+folder+"\nsilence 3s\nring 50\n")
	settings := &schema.StoreOptions{}
	if err := Parse("store", []string{"-settings", file, "-ring", "60"}, settings, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	if settings.Silence != int64(3*time.Second) || settings.Ring != 60 || settings.EntriesMost != 512 {
		t.Errorf("got silence %d, ring %d, entries-most %d", settings.Silence, settings.Ring, settings.EntriesMost)
	}
	var help bytes.Buffer
	if err := Parse("store", []string{"-help"}, settings, &help); !errors.Is(err, flag.ErrHelp) || !strings.Contains(help.String(), "-entries-most") {
		t.Errorf("help gave %v: %s", err, help.String())
	}
	writeFile(t, file, "colour red\n")
	if err := Parse("store", []string{"-settings", file}, settings, &help); err == nil {
		t.Error("a setting that does not exist was accepted")
	}
}

// Every setting in the schema has a form that exists, and its bounds and its default are valid for the form: the
// parsers rely on it.
func TestRulesAreComplete(t *testing.T) {
	for _, message := range []proto.Message{
		&schema.ProxyOptions{},
		&schema.RegistryOptions{},
		&schema.StoreOptions{},
		&schema.HollowOptions{},
		&schema.SlopesOptions{},
		&schema.CallsOptions{},
	} {
		fields := message.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			t.Run(string(fields.Get(i).FullName()), func(t *testing.T) {
				rule := ruleOf(fields.Get(i))
				if rule.Help == "" || parseByForm[rule.Form] == nil {
					t.Fatalf("no help, or no form: %v", rule)
				}
				for _, text := range []string{rule.Least, rule.Most, rule.Preset} {
					if text == "" {
						continue
					}
					if _, reason := parseByForm[rule.Form](text, rule); reason != "" {
						t.Error(reason)
					}
				}
				bounded := rule.Form == "duration" || rule.Form == "number" || rule.Form == "ratio"
				if hasBounds := rule.Least != "" && rule.Most != ""; hasBounds != bounded {
					t.Errorf("form %s, bounds %q to %q", rule.Form, rule.Least, rule.Most)
				}
			})
		}
	}
}
