package flag

import (
	"crypto/sha1"
	"encoding/binary"
	"math"
	"strconv"
)

// bucketDigits is the number of hexadecimal digits of the SHA-1 that make up a bucket, and maxBucketValue the
// largest value that they can have.
const (
	bucketDigits   = 15
	maxBucketValue = 0xFFFFFFFFFFFFFFF
)

// Bucket gives the bucket of a context in [0,1], by its attribute name of a kind. It is a function of the seed, or
// without one of the flag's key and salt, and of the attribute's text. A missing kind or attribute, or one without
// a text, gives 0.
func Bucket(key, salt string, seed *int64, context EvaluationContext, kind, name string) float64 {
	// The common case: the key is text already, so no interface value is allocated for it.
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
	// The first hexadecimal digits of the sum are its first bits, four for each digit.
	return float64(binary.BigEndian.Uint64(sum[:])>>(64-4*bucketDigits)) / maxBucketValue
}

// bucketBufferBytes is the longest hashed text that takes no allocation.
const bucketBufferBytes = 192

// bucketText gives the text by which a value is bucketed. Only text, and whole numbers that a float64 holds exactly,
// have one.
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
