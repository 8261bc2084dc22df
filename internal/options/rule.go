package options

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/schema"
)

// ruleOf gives the rule of a setting in the schema, an empty one for a field without.
func ruleOf(field protoreflect.FieldDescriptor) *schema.Rule {
	rule, _ := proto.GetExtension(field.Options(), schema.E_Rule).(*schema.Rule)
	if rule == nil {
		rule = &schema.Rule{}
	}
	return rule
}

// flagName is a setting's name on the command line and in the settings file.
func flagName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// describeRule gives the text of a setting in the output of -help.
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

// isRequiredBy tells whether a setting must be given because another one does not have the value with which it
// may be left out. textByName has the texts of all settings.
func isRequiredBy(rule *schema.Rule, textByName map[string]string) bool {
	name, value, depends := strings.Cut(rule.Unless, "=")
	return depends && textByName[name] != value
}
