package dispatch

import (
	"hash/crc32"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// The proxy beside a worker accepts only valid responses from it. The caller's proxy checks what it gets again, because
// the other proxy may be of another release, whose rules were laxer.

// isIntact reports whether a response belongs to the request, and its body arrived as it was sent.
func isIntact(request *schema.ForwardRequest, response *schema.ForwardResponse) bool {
	return response.Request == request.Request &&
		uint64(len(response.Body)) == response.Length &&
		crc32.ChecksumIEEE(response.Body) == response.Checksum
}

// isValid reports whether a response has a known outcome and, if it is a worker's answer, can be passed on: it has a
// final status and valid headers. An unknown outcome must not be taken for a proof that nothing ran.
func isValid(response *schema.ForwardResponse) bool {
	switch response.Outcome {
	case schema.CallOutcome_CALL_OUTCOME_ANSWERED:
		return response.Status >= fasthttp.StatusOK && response.Status <= http1.MaxStatus && isValidHeaderBlock(response.HeaderBlock)
	case schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, schema.CallOutcome_CALL_OUTCOME_UNKNOWN:
		return true
	}
	return false
}
