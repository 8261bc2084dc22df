// Package options reads a program's settings: flags, then a settings file, checked
// against the rules that stand beside each field in the schema.
package options

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// Version is what --version prints.
const Version = "0.1.0"

// Faults are all the bad fields of one set of settings.
type Faults []string

// Error names every bad field at once, so that an operator mends them in one go.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// ruleOf finds the rule beside a field in the schema.
func ruleOf(field protoreflect.FieldDescriptor) *schema.Rule {
	rule, _ := proto.GetExtension(field.Options(), schema.E_Rule).(*schema.Rule)
	if rule == nil {
		rule = &schema.Rule{}
	}
	return rule
}

// flagName is a field's name on the command line and in the settings file.
func flagName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// Parse fills target from args and the file named by --settings.
func Parse(program string, args []string, target proto.Message, help io.Writer) error {
	_, err := ParseWithFile(program, args, target, help)
	return err
}

// ParseWithFile fills target as Parse does, and tells which settings file was named, if any.
func ParseWithFile(program string, args []string, target proto.Message, help io.Writer) (file string, err error) {
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	settingsFile := set.String("settings", "", "file with one 'name value' a line; flags go before it")
	showVersion := set.Bool("version", false, "print the version and leave")
	message := target.ProtoReflect()
	fields := message.Descriptor().Fields()
	values := make([]*string, fields.Len())
	for i := 0; i < fields.Len(); i++ {
		rule := ruleOf(fields.Get(i))
		values[i] = set.String(flagName(fields.Get(i)), rule.Preset, describeRule(rule))
	}
	err = ff.Parse(set, args, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(help, "usage: %s [flags]\n\n", program)
		set.SetOutput(help)
		set.PrintDefaults()
		return "", flag.ErrHelp
	}
	if err != nil {
		return *settingsFile, Faults{err.Error()}
	}
	if *showVersion {
		fmt.Fprintf(help, "%s %s\n", program, Version)
		return "", flag.ErrHelp
	}
	var faults Faults
	if set.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("%s: takes no words besides its flags, got %q", program, set.Args()))
	}
	textByName := map[string]string{}
	for i := range values {
		textByName[flagName(fields.Get(i))] = *values[i]
	}
	for i := 0; i < fields.Len(); i++ {
		field, rule := fields.Get(i), ruleOf(fields.Get(i))
		// Some settings are needed only as long as another does not make them needless.
		if name, value, depends := strings.Cut(rule.Unless, "="); depends && textByName[name] != value && *values[i] == "" {
			faults = append(faults, flagName(field)+": is required")
			continue
		}
		value, reason := parseValue(*values[i], field, rule)
		if reason != "" {
			faults = append(faults, flagName(field)+": "+reason)
			continue
		}
		if value.IsValid() {
			message.Set(field, value)
		}
	}
	if len(faults) > 0 {
		return *settingsFile, faults
	}
	return *settingsFile, nil
}

func describeRule(rule *schema.Rule) string {
	text := rule.Help
	if rule.Least != "" || rule.Most != "" {
		text += fmt.Sprintf(" (%s to %s)", rule.Least, rule.Most)
	}
	if rule.Choices != "" {
		text += fmt.Sprintf(" (one of %s)", rule.Choices)
	}
	if rule.Required {
		text += " (required)"
	}
	if rule.Live {
		text += " (live)"
	}
	return text
}

// parseByForm turns the text of a setting into its value, or says what is wrong.
var parseByForm = map[string]func(text string, rule *schema.Rule) (protoreflect.Value, string){
	"text": func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		return protoreflect.ValueOfString(text), ""
	},
	"address":   parseAddresses(1),
	"addresses": parseAddresses(3),
	"pairs": func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		seen := map[string]bool{}
		for _, pair := range strings.Split(text, ",") {
			name, address, found := strings.Cut(pair, "=")
			if !found || name == "" || seen[name] {
				return protoreflect.Value{}, fmt.Sprintf("%q is not one name=IP:port", pair)
			}
			seen[name] = true
			if _, err := netip.ParseAddrPort(address); err != nil {
				return protoreflect.Value{}, fmt.Sprintf("%q is not IP:port", address)
			}
		}
		return protoreflect.ValueOfString(text), ""
	},
	"file": func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		if info, err := os.Stat(text); err != nil || info.IsDir() {
			return protoreflect.Value{}, fmt.Sprintf("%q is not a file that can be read", text)
		}
		return protoreflect.ValueOfString(text), ""
	},
	"folder": func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		if err := os.MkdirAll(text, 0o750); err != nil {
			return protoreflect.Value{}, fmt.Sprintf("%q is not a folder that can be made", text)
		}
		return protoreflect.ValueOfString(text), ""
	},
	"duration": func(text string, rule *schema.Rule) (protoreflect.Value, string) {
		value, err := time.ParseDuration(text)
		if err != nil {
			return protoreflect.Value{}, fmt.Sprintf("%q is not a duration such as 2s", text)
		}
		least, _ := time.ParseDuration(rule.Least)
		most, _ := time.ParseDuration(rule.Most)
		if value < least || value > most {
			return protoreflect.Value{}, fmt.Sprintf("%s is outside %s to %s", text, rule.Least, rule.Most)
		}
		return protoreflect.ValueOfInt64(int64(value)), ""
	},
	"number": func(text string, rule *schema.Rule) (protoreflect.Value, string) {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, fmt.Sprintf("%q is not a whole number", text)
		}
		least, _ := strconv.ParseInt(rule.Least, 10, 64)
		most, _ := strconv.ParseInt(rule.Most, 10, 64)
		if value < least || value > most {
			return protoreflect.Value{}, fmt.Sprintf("%s is outside %s to %s", text, rule.Least, rule.Most)
		}
		return protoreflect.ValueOfInt64(value), ""
	},
	"choice": func(text string, rule *schema.Rule) (protoreflect.Value, string) {
		if !slices.Contains(SplitList(rule.Choices), text) {
			return protoreflect.Value{}, fmt.Sprintf("%q is not one of %s", text, rule.Choices)
		}
		return protoreflect.ValueOfString(text), ""
	},
	"switch": func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return protoreflect.Value{}, fmt.Sprintf("%q is not true or false", text)
		}
		return protoreflect.ValueOfBool(value), ""
	},
	"ratio": func(text string, rule *schema.Rule) (protoreflect.Value, string) {
		value, err := strconv.ParseFloat(text, 64)
		least, _ := strconv.ParseFloat(rule.Least, 64)
		most, _ := strconv.ParseFloat(rule.Most, 64)
		// The comparison is written so that NaN fails it.
		if err != nil || !(value >= least && value <= most) {
			return protoreflect.Value{}, fmt.Sprintf("%q is not a number from %s to %s", text, rule.Least, rule.Most)
		}
		return protoreflect.ValueOfFloat64(value), ""
	},
}

func parseAddresses(maxAddresses int) func(string, *schema.Rule) (protoreflect.Value, string) {
	return func(text string, _ *schema.Rule) (protoreflect.Value, string) {
		addresses := strings.Split(text, ",")
		if len(addresses) > maxAddresses {
			return protoreflect.Value{}, fmt.Sprintf("takes at most %d addresses", maxAddresses)
		}
		for _, address := range addresses {
			// Only IP numbers are taken: where this runs there is no name service to lean on.
			if _, err := netip.ParseAddrPort(address); err != nil {
				return protoreflect.Value{}, fmt.Sprintf("%q is not IP:port", address)
			}
		}
		return protoreflect.ValueOfString(text), ""
	}
}

func parseValue(text string, field protoreflect.FieldDescriptor, rule *schema.Rule) (protoreflect.Value, string) {
	if text == "" {
		if rule.Required {
			return protoreflect.Value{}, "is required"
		}
		return protoreflect.Value{}, ""
	}
	return parseByForm[rule.Form](text, rule)
}

// ExitCode is the exit code for an error of Parse: 0 after help or version, else 2.
func ExitCode(program string, err error, output io.Writer) int {
	if err == flag.ErrHelp {
		return 0
	}
	var faults Faults
	if list, isFaults := err.(Faults); isFaults {
		faults = list
	} else {
		faults = Faults{err.Error()}
	}
	for _, fault := range faults {
		fmt.Fprintf(output, "%s: %s: %s\n", program, errs.InvalidOptions, fault)
	}
	return 2
}

// SplitList splits a setting that holds several values.
func SplitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// SplitPairs splits a setting of the form name=value by comma.
func SplitPairs(text string) map[string]string {
	pairs := map[string]string{}
	for _, pair := range SplitList(text) {
		name, value, _ := strings.Cut(pair, "=")
		pairs[name] = value
	}
	return pairs
}
