package flag

import (
	"crypto/sha1"
	"encoding/binary"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/Masterminds/semver/v3"
)

// bucketDigits is how much of the SHA1 counts, and maxBucketValue the largest value it can have.
const (
	bucketDigits   = 15
	maxBucketValue = 0xFFFFFFFFFFFFFFF
)

// Bucket places a context in [0,1]; a missing kind or value gives 0.
func Bucket(key, salt string, seed *int64, context EvaluationContext, kind, name string) float64 {
	// Nearly always the key is what counts; it is text as it is.
	text, usable := "", false
	if name == "" || name == "key" {
		text, usable = context.KeyOf(kind)
		usable = usable && text != ""
	} else if value, present := attribute(context, kind, name); present {
		text, usable = bucketText(value)
	}
	if !usable {
		return 0
	}
	var buffer [bucketBufferBytes]byte
	joined := buffer[:0]
	if seed != nil {
		joined = strconv.AppendInt(joined, *seed, 10)
	} else {
		joined = append(append(append(joined, key...), '.'), salt...)
	}
	joined = append(append(joined, '.'), text...)
	sum := sha1.Sum(joined)
	// The first digits of its text are the first bits of the number.
	return float64(binary.BigEndian.Uint64(sum[:])>>(64-4*bucketDigits)) / maxBucketValue
}

// bucketBufferBytes is how long what is hashed may be before it takes an allocation.
const bucketBufferBytes = 192

// bucketText gives the text a value is bucketed by; only text and whole numbers have one.
func bucketText(value any) (string, bool) {
	if text, isText := value.(string); isText {
		return text, true
	}
	number, isNumber := numeric(value)
	if !isNumber || number != math.Trunc(number) || math.Abs(number) > 1<<53 {
		return "", false
	}
	return strconv.FormatInt(int64(number), 10), true
}

// comparison compares a context value with the i-th value of a clause.
type comparison func(value any, clause *Clause, i int) bool

// operators is the table of all operators but segmentMatch, which needs the segments.
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

// equalValues is equality of value and type; JSON has one type of number.
func equalValues(a, b any) bool {
	if left, isNumber := numeric(a); isNumber {
		right, alsoNumber := numeric(b)
		return alsoNumber && left == right
	}
	return reflect.DeepEqual(a, b)
}

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

func compareTexts(compare func(value, wanted string) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		text, isText := value.(string)
		wanted, wantedText := clause.Values[i].(string)
		return isText && wantedText && compare(text, wanted)
	}
}

func compareNumbers(compare func(a, b float64) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		number, isNumber := numeric(value)
		wanted, wantedNumber := numeric(clause.Values[i])
		return isNumber && wantedNumber && compare(number, wanted)
	}
}

// parseTimestamp reads a timestamp: whole milliseconds since 1970, or RFC 3339 text.
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

func compareTimes(compare func(a, b int64) bool) comparison {
	return func(value any, clause *Clause, i int) bool {
		if i >= len(clause.times) || clause.times[i] == nil {
			return false
		}
		instant, isTimestamp := parseTimestamp(value)
		return isTimestamp && compare(instant, *clause.times[i])
	}
}

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
