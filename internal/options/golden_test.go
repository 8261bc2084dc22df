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

// programs are all programs with settings in the schema. The golden lists have these names, which stay when a
// program is renamed.
var programs = map[string]proto.Message{
	"proxy":           &schema.ProxyOptions{},
	"registry":        &schema.RegistryOptions{},
	"store":           &schema.StoreOptions{},
	"emulator hollow": &schema.HollowOptions{},
	"emulator slopes": &schema.SlopesOptions{},
	"emulator calls":  &schema.CallsOptions{},
}

// TestSettingsGolden compares the settings of each program with the golden list. Operators have them in files and
// on command lines, so no name, default, bound or form may change.
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
				t.Fatalf("-help gave %v", err)
			}
			goldenfile.Compare(t, strings.ReplaceAll(program, " ", "-")+".txt", listed.String()+"\n"+flagsIn(help.String()))
		})
	}
}

// TestEveryOptionsMessageIsListed fails for a program with settings that has no golden list.
func TestEveryOptionsMessageIsListed(t *testing.T) {
	listed := map[protoreflect.FullName]bool{}
	for _, target := range programs {
		listed[target.ProtoReflect().Descriptor().FullName()] = true
	}
	for _, file := range []protoreflect.FileDescriptor{schema.File_mesh_proto, schema.File_testbed_proto} {
		for i := range file.Messages().Len() {
			message := file.Messages().Get(i)
			if strings.HasSuffix(string(message.Name()), "Options") && !listed[message.FullName()] {
				t.Errorf("%s has no golden list", message.FullName())
			}
		}
	}
}

// flagsIn gives the lines of a help text that name a flag. The explanations are not compared.
func flagsIn(help string) string {
	var flags strings.Builder
	for line := range strings.Lines(help) {
		if strings.HasPrefix(line, "  -") {
			flags.WriteString(line)
		}
	}
	return flags.String()
}

// settingLine gives everything that the schema says about one setting except its explanation. The rule's own
// fields are listed by reflection, so that a field added to it is compared too.
func settingLine(t *testing.T, field protoreflect.FieldDescriptor) string {
	t.Helper()
	rule, ok := proto.GetExtension(field.Options(), schema.E_Rule).(proto.Message)
	if !ok {
		t.Fatalf("%s has no rule", field.FullName())
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
