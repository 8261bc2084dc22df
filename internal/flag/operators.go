package flag

import (
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/Masterminds/semver/v3"
)

// comparison reports whether the value of an attribute matches the i-th value of a clause.
type comparison func(value any, clause *Clause, i int) bool

// operators has the comparison of every operator except segmentMatch, which needs the segments.
var operators = map[string]comparison{
	"in": func(value any, clause *Clause, i int) bool { return equalValues(value, clause.Values[i]) },
	"endsWith": compareTexts(func(value, wanted string) bool {
		return strings.HasSuffix(value, wanted)
	}),
	"startsWith": compareTexts(strings.HasPrefix),
	"contains":   compareTexts(strings.Contains),
	"matches": func(value any, clause *Clause, i int) bool {
		text, isText := value.(string)
		return isText && i < len(clause.patterns) && clause.patterns[i] != nil && clause.patterns[i].MatchString(text)
	},
	"lessThan":           compareNumbers(func(a, b float64) bool { return a < b }),
	"lessThanOrEqual":    compareNumbers(func(a, b float64) bool { return a <= b }),
	"greaterThan":        compareNumbers(func(a, b float64) bool { return a > b }),
	"greaterThanOrEqual": compareNumbers(func(a, b float64) bool { return a >= b }),
	"before":             compareTimes(func(a, b int64) bool { return a < b }),
	"after":              compareTimes(func(a, b int64) bool { return a > b }),
	"semVerEqual":        compareSemvers(func(order int) bool { return order == 0 }),
	"semVerLessThan":     compareSemvers(func(order int) bool { return order < 0 }),
	"semVerGreaterThan":  compareSemvers(func(order int) bool { return order > 0 }),
}

// equalValues reports whether two values are equal and of the same type. All numbers have the same type, as in JSON.
func equalValues(a, b any) bool {
	if left, isNumber := numeric(a); isNumber {
		right, alsoNumber := numeric(b)
		return alsoNumber && left == right
	}
	return reflect.DeepEqual(a, b)
}

// numeric returns a value as a number, and false if it is not a number. NaN is not one.
func numeric(value any) (float64, bool) {
	switch number := value.(type) {
	case float64:
		return number, !math.IsNaN(number)
	case int:
		return float64(number), true
	case int64:
		return float64(number), true
	}
	return 0, false
}

// compareTexts returns a comparison of texts, in which other values do not match.
func compareTexts(compare func(value, wanted string) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		text, isText := value.(string)
		wanted, wantedText := clause.Values[i].(string)
		return isText && wantedText && compare(text, wanted)
	}
}

// compareNumbers returns a comparison of numbers, in which other values do not match.
func compareNumbers(compare func(a, b float64) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		number, isNumber := numeric(value)
		wanted, wantedNumber := numeric(clause.Values[i])
		return isNumber && wantedNumber && compare(number, wanted)
	}
}

// parseTimestamp returns a timestamp in milliseconds since 1970, and false if the value is not one. A timestamp is a
// whole number of milliseconds since 1970, or RFC 3339 text.
func parseTimestamp(value any) (int64, bool) {
	if text, isText := value.(string); isText {
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return 0, false
		}
		return parsed.UnixMilli(), true
	}
	number, isNumber := numeric(value)
	if !isNumber || number != math.Trunc(number) || math.Abs(number) > 1<<53 {
		return 0, false
	}
	return int64(number), true
}

// compareTimes returns a comparison of timestamps, in which other values do not match.
func compareTimes(compare func(a, b int64) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		if i >= len(clause.timestamps) || clause.timestamps[i] == nil {
			return false
		}
		timestamp, isTimestamp := parseTimestamp(value)
		return isTimestamp && compare(timestamp, *clause.timestamps[i])
	}
}

// compareSemvers returns a comparison of semantic versions, in which other values do not match. accepts gets the
// order of the two versions: negative, zero or positive if the attribute is lower, equal or higher.
func compareSemvers(accepts func(order int) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		text, isText := value.(string)
		if !isText || i >= len(clause.semvers) || clause.semvers[i] == nil {
			return false
		}
		version, err := semver.NewVersion(text)
		return err == nil && accepts(version.Compare(clause.semvers[i]))
	}
}
