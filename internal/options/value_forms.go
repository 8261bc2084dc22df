package options

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"meadowhinge/schema"
)

// reasonRequired is the reason for which a required setting without a value is refused.
const reasonRequired = "is required"

// maxAddresses is the maximum number of addresses in a setting of the form addresses.
const maxAddresses = 3

// folderMode is the mode with which folders are created for settings of the form folder.
const folderMode = 0o750

// valueParser returns the value of a setting's text, or the reason for which the text is refused. The reason is empty
// for a valid text.
type valueParser func(text string, rule *schema.Rule) (value protoreflect.Value, reason string)

// parserByForm has the parser of each form that a Rule may name.
var parserByForm = map[string]valueParser{
	"text":      parseText,
	"address":   parseAddresses(1),
	"addresses": parseAddresses(maxAddresses),
	"pairs":     parsePairs,
	"file":      parseFile,
	"folder":    parseFolder,
	"duration":  parseDuration,
	"number":    parseNumber,
	"choice":    parseChoice,
	"switch":    parseSwitch,
	"ratio":     parseRatio,
}

// parseValue parses the text of a setting by its rule. For an empty text that is allowed, it returns an invalid
// protoreflect.Value and no reason: the field is then left unset.
func parseValue(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	if text == "" {
		if rule.Required {
			return refuse(reasonRequired)
		}
		return protoreflect.Value{}, ""
	}
	return parserByForm[rule.Form](text, rule)
}

// refuse returns the result of a parser that refuses a text, with the reason.
func refuse(format string, values ...any) (value protoreflect.Value, reason string) {
	return protoreflect.Value{}, fmt.Sprintf(format, values...)
}

// refuseOutside refuses a text whose value is outside the bounds of the rule.
func refuseOutside(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	return refuse("%s is outside %s to %s", text, rule.Least, rule.Most)
}

func parseText(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	return protoreflect.ValueOfString(text), ""
}

// parseAddresses returns the parser of up to maxCount addresses, separated by commas.
func parseAddresses(maxCount int) valueParser {
	return func(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
		addresses := strings.Split(text, ",")
		if len(addresses) > maxCount {
			return refuse("accepts at most %d addresses, got %d", maxCount, len(addresses))
		}
		for _, address := range addresses {
			// Host names are refused, because the mesh must work where there is no name service.
			if _, err := netip.ParseAddrPort(address); err != nil {
				return refuse("%q is not IP:port", address)
			}
		}
		return protoreflect.ValueOfString(text), ""
	}
}

// parsePairs checks a list of name=IP:port with unique names, separated by commas.
func parsePairs(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, address, found := strings.Cut(pair, "=")
		if !found || name == "" || seen[name] {
			return refuse("%q must be name=IP:port, with a name that no other pair has", pair)
		}
		seen[name] = true
		if _, err := netip.ParseAddrPort(address); err != nil {
			return refuse("%q is not IP:port", address)
		}
	}
	return protoreflect.ValueOfString(text), ""
}

// parseFile checks the path of a file, which must exist.
func parseFile(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	if info, err := os.Stat(text); err != nil || info.IsDir() {
		return refuse("%q is not an accessible file", text)
	}
	return protoreflect.ValueOfString(text), ""
}

// parseFolder checks the path of a folder, and creates the folder if it does not exist.
func parseFolder(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	if err := os.MkdirAll(text, folderMode); err != nil {
		return refuse("%q is not a folder and cannot be created as one", text)
	}
	return protoreflect.ValueOfString(text), ""
}

// The parsers of forms with bounds ignore errors in the bounds themselves, because TestRulesAreComplete parses the
// bounds of every rule in the schema.

// parseDuration returns a duration in nanoseconds.
func parseDuration(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return refuse("%q is not a duration such as 2s", text)
	}
	least, _ := time.ParseDuration(rule.Least)
	most, _ := time.ParseDuration(rule.Most)
	if duration < least || duration > most {
		return refuseOutside(text, rule)
	}
	return protoreflect.ValueOfInt64(int64(duration)), ""
}

// parseNumber returns a whole number in decimal form.
func parseNumber(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return refuse("%q is not a whole number", text)
	}
	least, _ := strconv.ParseInt(rule.Least, 10, 64)
	most, _ := strconv.ParseInt(rule.Most, 10, 64)
	if number < least || number > most {
		return refuseOutside(text, rule)
	}
	return protoreflect.ValueOfInt64(number), ""
}

// parseChoice checks that the text is one of the rule's choices.
func parseChoice(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	if !slices.Contains(SplitList(rule.Choices), text) {
		return refuse("%q is not one of %s", text, rule.Choices)
	}
	return protoreflect.ValueOfString(text), ""
}

// parseSwitch returns a truth value, in any form that strconv.ParseBool accepts.
func parseSwitch(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	isOn, err := strconv.ParseBool(text)
	if err != nil {
		return refuse("%q is not true or false", text)
	}
	return protoreflect.ValueOfBool(isOn), ""
}

// parseRatio returns a floating-point number.
func parseRatio(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	ratio, err := strconv.ParseFloat(text, 64)
	least, _ := strconv.ParseFloat(rule.Least, 64)
	most, _ := strconv.ParseFloat(rule.Most, 64)
	// The comparison is written so that NaN fails it.
	if err != nil || !(ratio >= least && ratio <= most) {
		return refuse("%q is not a number from %s to %s", text, rule.Least, rule.Most)
	}
	return protoreflect.ValueOfFloat64(ratio), ""
}

// SplitList returns the values of a setting whose text has several, separated by commas. It returns nil for an empty
// text.
func SplitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// SplitPairs returns the values of a setting of the form pairs, by name. The text must be valid.
func SplitPairs(text string) map[string]string {
	pairs := map[string]string{}
	for _, pair := range SplitList(text) {
		name, value, _ := strings.Cut(pair, "=")
		pairs[name] = value
	}
	return pairs
}
