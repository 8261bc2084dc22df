package dispatch

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

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
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		x := &exchange{
			response:     response,
			codec:        testCodec{},
			forward:      &schema.ForwardRequest{Request: "r"},
			deadline:     time.Now().Add(time.Minute),
			maxBodyBytes: maxBodyBytes,
			bodyMemory:   semaphore.NewWeighted(maxBodyBytes),
		}
		defer x.releaseMemory()
		reader := bufio.NewReader(bytes.NewReader(text))
		if x.readFinalHeader(reader) != nil {
			return
		}
		x.info = x.codec.ReadHeader(&response.Header, x.forward)
		err := x.readBody(reader)
		if len(x.body) > maxBodyBytes {
			t.Fatalf("readBody: got a body of %d bytes, want at most %d", len(x.body), maxBodyBytes)
		}
		if status := response.StatusCode(); err == nil && (status < 200 || status > 599) {
			t.Fatalf("readFinalHeader: accepted the status %d, want only 200 to 599", status)
		}
		if length := response.Header.ContentLength(); err == nil && length > 0 && !HasNoBody(x.forward.Method, response.StatusCode()) && len(x.body) != length {
			t.Fatalf("readBody: accepted a body of %d bytes as complete, want Content-Length %d", len(x.body), length)
		}
	})
}
