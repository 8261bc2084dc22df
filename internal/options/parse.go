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

// Version is the version of all programs, which -version prints.
const Version = "0.1.0"

// settingsFlag names the flag for the settings file.
const settingsFlag = "settings"

// Parse fills target from args and from the file that -settings names. Its error is flag.ErrHelp after it wrote the
// help or the version to help, or else Faults.
func Parse(program string, args []string, target proto.Message, help io.Writer) error {
	_, err := ParseWithFile(program, args, target, help)
	return err
}

// ParseWithFile is Parse that also gives the settings file that was named, empty for none. It gives the file beside
// Faults too, so that the file can be watched until it is valid. Fields of target may be set even then.
func ParseWithFile(program string, args []string, target proto.Message, help io.Writer) (file string, err error) {
	set := newSettingSet(program, target.ProtoReflect())
	err = ff.Parse(set.flags, args, ff.WithConfigFileFlag(settingsFlag), ff.WithConfigFileParser(ff.PlainParser))
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprintf(help, "usage: %s [flags]\n\n", program) // there is nobody to report an error to
		set.flags.SetOutput(help)
		set.flags.PrintDefaults()
		return "", flag.ErrHelp
	case err != nil:
		return *set.settingsFile, Faults{err.Error()}
	case *set.showVersion:
		_, _ = fmt.Fprintf(help, "%s %s\n", program, Version) // there is nobody to report an error to
		return "", flag.ErrHelp
	}
	var faults Faults
	if set.flags.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("%s: takes no words besides its flags, got %q", program, set.flags.Args()))
	}
	if faults = append(faults, set.fill()...); len(faults) > 0 {
		return *set.settingsFile, faults
	}
	return *set.settingsFile, nil
}

// settingSet is the flags of a program: one for each field of its settings message, and those that every program
// has.
type settingSet struct {
	flags        *flag.FlagSet
	settingsFile *string
	showVersion  *bool
	message      protoreflect.Message
	texts        []*string // by field index
}

func newSettingSet(program string, message protoreflect.Message) *settingSet {
	set := &settingSet{flags: flag.NewFlagSet(program, flag.ContinueOnError), message: message}
	set.flags.SetOutput(io.Discard)
	set.settingsFile = set.flags.String(settingsFlag, "", "file with one 'name value' a line; flags go before it")
	set.showVersion = set.flags.Bool("version", false, "print the version and exit")
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		rule := ruleOf(fields.Get(i))
		set.texts = append(set.texts, set.flags.String(flagName(fields.Get(i)), rule.Preset, describeRule(rule)))
	}
	return set
}

// fill sets the fields of the message from the texts of the flags, and gives what is wrong with any of them.
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
			faults = append(faults, flagName(field)+": "+isRequired)
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
