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

// isRequired is the reason for which a setting that is left out is refused.
const isRequired = "is required"

// maxAddresses is how many addresses a setting of the form addresses may have.
const maxAddresses = 3

// folderMode is the mode of the folders that settings of the form folder make.
const folderMode = 0o750

// parseForm turns the text of a setting into its value, or gives the reason for which it is refused.
type parseForm func(text string, rule *schema.Rule) (value protoreflect.Value, reason string)

// parseByForm has the parser of each Rule.form.
var parseByForm = map[string]parseForm{
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

// parseValue parses the text of a setting; an empty text that is allowed gives an invalid value.
func parseValue(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	if text == "" {
		if rule.Required {
			return refuse(isRequired)
		}
		return protoreflect.Value{}, ""
	}
	return parseByForm[rule.Form](text, rule)
}

func refuse(format string, values ...any) (value protoreflect.Value, reason string) {
	return protoreflect.Value{}, fmt.Sprintf(format, values...)
}

func refuseOutside(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	return refuse("%s is outside %s to %s", text, rule.Least, rule.Most)
}

func parseText(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	return protoreflect.ValueOfString(text), ""
}

func parseAddresses(maxCount int) parseForm {
	return func(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
		addresses := strings.Split(text, ",")
		if len(addresses) > maxCount {
			return refuse("takes at most %d addresses", maxCount)
		}
		for _, address := range addresses {
			// Host names are refused: the mesh must work where there is no name service.
			if _, err := netip.ParseAddrPort(address); err != nil {
				return refuse("%q is not IP:port", address)
			}
		}
		return protoreflect.ValueOfString(text), ""
	}
}

func parsePairs(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, address, found := strings.Cut(pair, "=")
		if !found || name == "" || seen[name] {
			return refuse("%q is not one name=IP:port", pair)
		}
		seen[name] = true
		if _, err := netip.ParseAddrPort(address); err != nil {
			return refuse("%q is not IP:port", address)
		}
	}
	return protoreflect.ValueOfString(text), ""
}

func parseFile(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	if info, err := os.Stat(text); err != nil || info.IsDir() {
		return refuse("%q is not a file that can be read", text)
	}
	return protoreflect.ValueOfString(text), ""
}

func parseFolder(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	if err := os.MkdirAll(text, folderMode); err != nil {
		return refuse("%q is not a folder that can be made", text)
	}
	return protoreflect.ValueOfString(text), ""
}

// The parsers of forms with bounds ignore errors in the bounds themselves: TestRulesAreComplete parses those of
// every rule in the schema.

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

func parseChoice(text string, rule *schema.Rule) (value protoreflect.Value, reason string) {
	if !slices.Contains(SplitList(rule.Choices), text) {
		return refuse("%q is not one of %s", text, rule.Choices)
	}
	return protoreflect.ValueOfString(text), ""
}

func parseSwitch(text string, _ *schema.Rule) (value protoreflect.Value, reason string) {
	isOn, err := strconv.ParseBool(text)
	if err != nil {
		return refuse("%q is not true or false", text)
	}
	return protoreflect.ValueOfBool(isOn), ""
}

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

// SplitList splits the text of a setting with several values, separated by commas.
func SplitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// SplitPairs splits the text of a setting of the form pairs into its values by name.
func SplitPairs(text string) map[string]string {
	pairs := map[string]string{}
	for _, pair := range SplitList(text) {
		name, value, _ := strings.Cut(pair, "=")
		pairs[name] = value
	}
	return pairs
}
