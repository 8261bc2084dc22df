package options

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Version is the version of all programs. The flag -version prints it.
const Version = "0.1.0"

// settingsFlag is the name of the flag that names the settings file.
const settingsFlag = "settings"

// Parse sets the fields of target to the settings in args, a command line, and in the file that its flag -settings
// names. If the command line asks for help or the version, Parse writes the text to help and returns flag.ErrHelp. Any
// other error is of type Faults. It has every invalid setting, or only the first error if the flags or the file cannot
// be read.
func Parse(program string, args []string, target proto.Message, help io.Writer) error {
	_, err := ParseWithFile(program, args, target, help)
	return err
}

// ParseWithFile does the same as Parse, and also returns the name of the settings file, empty if none is named. It
// returns the file along with Faults too, so that the caller can watch the file until it is valid. Some fields of
// target may be set even then.
func ParseWithFile(program string, args []string, target proto.Message, help io.Writer) (file string, err error) {
	set := newSettingSet(program, target.ProtoReflect())
	err = ff.Parse(set.flags, args, ff.WithConfigFileFlag(settingsFlag), ff.WithConfigFileParser(ff.PlainParser))
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprintf(help, "usage: %s [flags]\n\n", program) // a failed write cannot be reported anywhere
		set.flags.SetOutput(help)
		set.flags.PrintDefaults()
		return "", flag.ErrHelp
	case err != nil:
		return *set.settingsFile, Faults{err.Error()}
	case *set.showVersion:
		_, _ = fmt.Fprintf(help, "%s %s\n", program, Version) // a failed write cannot be reported anywhere
		return "", flag.ErrHelp
	}
	var faults Faults
	if set.flags.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("%s: accepts no arguments besides its flags, got %q", program, set.flags.Args()))
	}
	if faults = append(faults, set.fill()...); len(faults) > 0 {
		return *set.settingsFile, faults
	}
	return *set.settingsFile, nil
}

// settingSet has the flags of a program: one for each field of its settings message, and those that every program
// has. The pointers are valid after the flags are parsed.
type settingSet struct {
	flags        *flag.FlagSet
	settingsFile *string              // value of -settings, empty if it is not given
	showVersion  *bool                // value of -version
	message      protoreflect.Message // settings message to be filled
	texts        []*string            // text of each setting, by index of its field in the message
}

// newSettingSet defines the flags for the fields of message.
func newSettingSet(program string, message protoreflect.Message) *settingSet {
	set := &settingSet{flags: flag.NewFlagSet(program, flag.ContinueOnError), message: message}
	set.flags.SetOutput(io.Discard)
	set.settingsFile = set.flags.String(settingsFlag, "", "file with one 'name value' on each line; flags take precedence over it")
	set.showVersion = set.flags.Bool("version", false, "print the version and exit")
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		rule := ruleOf(fields.Get(i))
		set.texts = append(set.texts, set.flags.String(flagName(fields.Get(i)), rule.Preset, describeRule(rule)))
	}
	return set
}

// fill parses the texts of the flags into the fields of the message, and returns a fault for each invalid one.
func (s *settingSet) fill() (faults Faults) {
	fields := s.message.Descriptor().Fields()
	textByName := map[string]string{}
	for i := range fields.Len() {
		textByName[flagName(fields.Get(i))] = *s.texts[i]
	}
	for i := range fields.Len() {
		field, text := fields.Get(i), *s.texts[i]
		rule := ruleOf(field)
		if text == "" && isRequiredBy(rule, textByName) {
			faults = append(faults, flagName(field)+": "+reasonRequired)
			continue
		}
		value, reason := parseValue(text, rule)
		if reason != "" {
			faults = append(faults, flagName(field)+": "+reason)
			continue
		}
		if value.IsValid() {
			s.message.Set(field, value)
		}
	}
	return faults
}
