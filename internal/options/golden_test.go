package options_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/internal/goldenfile"
	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// programs has the settings message of each program with settings in the schema. The key is the name of the program's
// golden file, with spaces in place of hyphens. It stays when the program is renamed.
var programs = map[string]proto.Message{
	"proxy":           &schema.ProxyOptions{},
	"registry":        &schema.RegistryOptions{},
	"store":           &schema.StoreOptions{},
	"emulator hollow": &schema.HollowOptions{},
	"emulator slopes": &schema.SlopesOptions{},
	"emulator calls":  &schema.CallsOptions{},
}

// TestSettingsGolden compares the settings of each program with the golden file. Operators use them in files and on
// command lines, so no name, default, bound or form may change.
func TestSettingsGolden(t *testing.T) {
	for program, target := range programs {
		t.Run(program, func(t *testing.T) {
			var listed strings.Builder
			fields := target.ProtoReflect().Descriptor().Fields()
			for i := range fields.Len() {
				listed.WriteString(settingLine(t, fields.Get(i)))
			}
			var help bytes.Buffer
			if err := options.Parse(program, []string{"-help"}, target, &help); !errors.Is(err, flag.ErrHelp) {
				t.Fatalf("Parse with -help = %v, want flag.ErrHelp", err)
			}
			goldenfile.Compare(t, strings.ReplaceAll(program, " ", "-")+".txt", listed.String()+"\n"+flagsIn(help.String()))
		})
	}
}

// TestEveryOptionsMessageIsListed checks that every settings message in the schema has a golden file.
func TestEveryOptionsMessageIsListed(t *testing.T) {
	listed := map[protoreflect.FullName]bool{}
	for _, target := range programs {
		listed[target.ProtoReflect().Descriptor().FullName()] = true
	}
	for _, file := range []protoreflect.FileDescriptor{schema.File_mesh_proto, schema.File_testbed_proto} {
		for i := range file.Messages().Len() {
			message := file.Messages().Get(i)
			if strings.HasSuffix(string(message.Name()), "Options") && !listed[message.FullName()] {
				t.Errorf("settings message %s is not in programs, so it has no golden file", message.FullName())
			}
		}
	}
}

// flagsIn returns the lines of a help text that name a flag. The lines with descriptions are not compared.
func flagsIn(help string) string {
	var flags strings.Builder
	for line := range strings.Lines(help) {
		if strings.HasPrefix(line, "  -") {
			flags.WriteString(line)
		}
	}
	return flags.String()
}

// settingLine returns the name and the kind of a setting, and all fields of its rule except the description. The fields
// are listed by reflection, so that a field that is added to Rule is compared too.
func settingLine(t *testing.T, field protoreflect.FieldDescriptor) string {
	t.Helper()
	rule, ok := proto.GetExtension(field.Options(), schema.E_Rule).(proto.Message)
	if !ok {
		t.Fatalf("setting %s has no rule in the schema", field.FullName())
	}
	line := fmt.Sprintf("%s: kind=%s", strings.ReplaceAll(string(field.Name()), "_", "-"), field.Kind())
	reflected := rule.ProtoReflect()
	ruleFields := reflected.Descriptor().Fields()
	for i := range ruleFields.Len() {
		if ruleFields.Get(i).Name() == "help" {
			continue
		}
		line += fmt.Sprintf(" %s=%q", ruleFields.Get(i).Name(), reflected.Get(ruleFields.Get(i)).String())
	}
	return line + "\n"
}
