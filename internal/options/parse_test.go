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

// ExitCode writes all invalid settings at once and returns 2.
func TestEveryInvalidSettingIsReported(t *testing.T) {
	settings := &schema.StoreOptions{}
	err := Parse("store", []string{"-seat", "a", "-listen", "localhost:1", "-seeds", "1,2", "-silence", "1ms", "-buffer", "many", "-data", t.TempDir(),
		"-certificate", "/nowhere", "-probe-listen", "127.0.0.1:1"}, settings, &bytes.Buffer{})
	var output bytes.Buffer
	if code := ExitCode("store", err, &output); code != 2 {
		t.Errorf("ExitCode = %d, want 2", code)
	}
	for _, name := range []string{"order: is required", "listen: ", "seeds: ", "silence: ", "buffer: ", "certificate: ", "authority: is required"} {
		if !strings.Contains(output.String(), name) {
			t.Errorf("ExitCode did not write %q; output:\n%s", name, output.String())
		}
	}
}

// writeFile replaces the content of a file.
func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Flags take precedence over the settings file, and the file over the defaults. A file with an unknown setting is
// refused.
func TestPrecedenceOfFlagsFileAndDefaults(t *testing.T) {
	folder := t.TempDir()
	pem, file := filepath.Join(folder, "pem"), filepath.Join(folder, "settings")
	writeFile(t, pem, "")
	writeFile(t, file, "seat a\norder a,b,c\nlisten 127.0.0.1:1\nseeds 127.0.0.1:2\nprobe-listen 127.0.0.1:3\ncertificate "+pem+"\nauthority "+pem+"\ndata "+folder+"\nsilence 3s\nring 50\n")
	settings := &schema.StoreOptions{}
	if err := Parse("store", []string{"-settings", file, "-ring", "60"}, settings, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	if settings.Silence != int64(3*time.Second) || settings.Ring != 60 || settings.EntriesMost != 512 {
		t.Errorf("got silence %v, want 3s of the file; ring %d, want 60 of the flag; entries-most %d, want the default 512",
			time.Duration(settings.Silence), settings.Ring, settings.EntriesMost)
	}
	var help bytes.Buffer
	if err := Parse("store", []string{"-help"}, settings, &help); !errors.Is(err, flag.ErrHelp) || !strings.Contains(help.String(), "-entries-most") {
		t.Errorf("Parse with -help = %v, want flag.ErrHelp; help, which must list -entries-most:\n%s", err, help.String())
	}
	writeFile(t, file, "colour red\n")
	if err := Parse("store", []string{"-settings", file}, settings, &help); err == nil {
		t.Error("Parse of a settings file with the unknown setting colour = nil, want an error")
	}
}

// Every setting in the schema has a description and a form that exists, and its bounds and default are valid for the
// form. The parsers rely on it.
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
				if rule.Help == "" || parserByForm[rule.Form] == nil {
					t.Fatalf("rule has help %q and form %q, want a text and a form with a parser", rule.Help, rule.Form)
				}
				for _, text := range []string{rule.Least, rule.Most, rule.Preset} {
					if text == "" {
						continue
					}
					if _, reason := parserByForm[rule.Form](text, rule); reason != "" {
						t.Errorf("bound or default %q is not valid for form %s: %s", text, rule.Form, reason)
					}
				}
				bounded := rule.Form == "duration" || rule.Form == "number" || rule.Form == "ratio"
				if hasBounds := rule.Least != "" && rule.Most != ""; hasBounds != bounded {
					t.Errorf("rule of form %s has the bounds %q to %q, want both for duration, number and ratio, none for others", rule.Form, rule.Least, rule.Most)
				}
			})
		}
	}
}
