package dispatch

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// A response is accepted only if it is complete, within the size limit, and has a final status, whatever bytes a worker
// sends.
func FuzzWorkerResponse(f *testing.F) {
	for _, seed := range []string{answered("r", "one"), "HTTP/1.1 200 OK\r\n\r\none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + answered("r", ""), "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"} {
		f.Add([]byte(seed))
	}
	const maxBodyBytes = 1 << 12
	f.Fuzz(func(t *testing.T, text []byte) {
		head := &http1.ResponseHead{}
		x := &exchange{
			head:         head,
			sending:      &requestSending{},
			codec:        testCodec{},
			forward:      &schema.ForwardRequest{Request: "r"},
			deadline:     time.Now().Add(time.Minute),
			maxBodyBytes: maxBodyBytes,
			bodyMemory:   semaphore.NewWeighted(maxBodyBytes),
		}
		defer x.releaseMemory()
		reader := bufio.NewReader(bytes.NewReader(text))
		if x.readFinalHead(reader) != nil {
			return
		}
		x.info = x.codec.ReadHeader(head, x.forward)
		err := x.readBody(reader)
		if len(x.body) > maxBodyBytes {
			t.Fatalf("readBody: got a body of %d bytes, want at most %d", len(x.body), maxBodyBytes)
		}
		if status := head.Status; err == nil && (status < 200 || status > 599) {
			t.Fatalf("readFinalHead: accepted the status %d, want only 200 to 599", status)
		}
		if err == nil && head.BodyEnd == http1.EndsWithLength && !HasNoBody(x.forward.Method, head.Status) && uint64(len(x.body)) != head.ContentLength {
			t.Fatalf("readBody: accepted a body of %d bytes as complete, want Content-Length %d", len(x.body), head.ContentLength)
		}
	})
}
