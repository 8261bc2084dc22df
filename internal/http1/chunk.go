package http1

import (
	"bytes"
	"strconv"

	"meadowhinge/internal/errs"
)

// maxChunkSizeBits bounds the size of a chunk, so that sums of sizes and lengths do not overflow.
const maxChunkSizeBits = 62

// ParseChunkSize parses the line before a chunk, without its line end, and returns the size of the chunk in bytes, 0 for
// the last chunk (RFC 9112, section 7.1). White space after the size and chunk extensions are ignored. It fails with
// errs.InvalidResponse; a caller that reads a request uses a code of its own.
func ParseChunkSize(line []byte) (uint64, error) {
	digits, extension, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, maxChunkSizeBits)
	if err != nil {
		return 0, errs.Wrap(err, errs.InvalidResponse, "chunk size is invalid")
	}
	if !IsFieldContent(extension) {
		return 0, invalid("chunk extension has a control byte")
	}
	return size, nil
}
