package options

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/schema"
)

// ruleOf returns the rule of a setting, an empty one for a field that has none in the schema.
func ruleOf(field protoreflect.FieldDescriptor) *schema.Rule {
	rule, _ := proto.GetExtension(field.Options(), schema.E_Rule).(*schema.Rule)
	if rule == nil {
		rule = &schema.Rule{}
	}
	return rule
}

// flagName returns the name of a setting on the command line and in the settings file.
func flagName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// describeRule returns the description of a setting in the output of -help.
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

// isRequiredBy reports whether a setting must be given because of Rule.unless: the setting that it names does not have
// the value with which this one may be left out. textByName has the texts of all settings by flag name.
func isRequiredBy(rule *schema.Rule, textByName map[string]string) bool {
	name, value, depends := strings.Cut(rule.Unless, "=")
	return depends && textByName[name] != value
}
