package flag

import (
	"crypto/sha1"
	"encoding/binary"
	"math"
	"strconv"
)

// A bucket is made of the first bucketDigits hexadecimal digits of a SHA-1 sum; maxBucketValue is the largest value
// of that many digits.
const (
	bucketDigits   = 15
	maxBucketValue = 0xFFFFFFFFFFFFFFF
)

// Bucket returns the bucket of a context, a number from 0 to 1, both included. It is computed from the value of the
// attribute name of a context kind, and from seed, or if seed is nil, from the key and salt of the flag or segment. An
// empty name means the key of the context. The bucket is 0 if the context does not have the kind or the attribute,
// or if the value is neither text nor a whole number.
func Bucket(key, salt string, seed *int64, context EvaluationContext, kind, name string) float64 {
	// The context's key is the common case. It is text, so no interface value is allocated for it.
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
	// Each hexadecimal digit is four bits of the sum, from the first one on.
	return float64(binary.BigEndian.Uint64(sum[:])>>(64-4*bucketDigits)) / maxBucketValue
}

// bucketBufferBytes is the length, in bytes, up to which no memory is allocated for the hashed text.
const bucketBufferBytes = 192

// bucketText returns the text by which a value is bucketed, and false for a value that cannot be bucketed. Only text,
// and whole numbers that a float64 represents exactly, can be.
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
