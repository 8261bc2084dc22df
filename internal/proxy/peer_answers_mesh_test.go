package proxy_test

import (
	"context"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// scriptedPeer is another proxy, for example of a former release, that answers each forwarded request by a script.
type scriptedPeer func(response *schema.ForwardResponse)

// Run implements schema.DRPCHopServer. The script changes a valid answer with the body "hello".
func (p scriptedPeer) Run(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	response := &schema.ForwardResponse{
		Request:     request.Request,
		Outcome:     schema.CallOutcome_CALL_OUTCOME_ANSWERED,
		Status:      http.StatusOK,
		HeaderBlock: []byte("X-Even: 1\r\n"),
		Body:        []byte("hello"),
		Length:      5,
		Checksum:    crc32.ChecksumIEEE([]byte("hello")),
	}
	p(response)
	return response, nil
}

// start serves the peer RPC on the loopback interface until the test ends, and returns the peer's address.
func (p scriptedPeer) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, p); err != nil {
		t.Fatal(err)
	}
	rpcTransport := transport.NewPlaintext("proxy", "worker-proxy", nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = rpcTransport.Serve(ctx, listener, mux, "proxy") }()
	t.Cleanup(func() {
		cancel()
		rpcTransport.Close()
	})
	return listener.Addr().String()
}

// callThroughPeer sends a request through a proxy to a worker beside the peer, and returns the answer.
func callThroughPeer(t *testing.T, peer scriptedPeer) callerAnswer {
	t.Helper()
	m := startMesh(t, "", says("").start(t), 4)
	source := m.workerProxy.Source()
	source.Address = peer.start(t)
	m.callerProxy.Apply(2, meshItems(), source, m.callerProxy.Source())
	conn := m.send(t, "/commit/1", "")
	if err := conn.SetReadDeadline(time.Now().Add(eventualTimeout)); err != nil {
		t.Fatal(err)
	}
	return readAnswer(t, conn)
}

// An answer that another proxy should not have accepted from its worker reaches no caller.
func TestInvalidAnswerOfPeerReachesNoCaller(t *testing.T) {
	cases := map[string]scriptedPeer{
		"outcome that is not known": func(response *schema.ForwardResponse) { response.Outcome = 7 },
		"part of the body":          func(response *schema.ForwardResponse) { response.Body = response.Body[:3] },
		"other bytes":               func(response *schema.ForwardResponse) { response.Body = []byte("hullo") },
	}
	for _, status := range []int32{0, -1, 99, 100, 101, 199, 600, 1000} {
		cases[fmt.Sprintf("status %d", status)] = func(response *schema.ForwardResponse) { response.Status = status }
	}
	for name, block := range map[string]string{
		"blank in a name":           "X Odd: 1\r\n",
		"blank before the colon":    "X-Odd : 1\r\n",
		"control byte in a name":    "X-\x01Odd: 1\r\n",
		"no name":                   ": 1\r\n",
		"no value":                  "X-Odd\r\n",
		"control byte in a value":   "X-Odd: a\x00b\r\n",
		"line feed in a value":      "X-Odd: a\nContent-Length: 1\r\n",
		"end of the header":         "X-Odd: 1\r\n\r\nhi",
		"empty line":                "\r\nX-Odd: 1\r\n",
		"no line end":               "X-Odd: 1",
		"folded line":               "X-Odd: 1\r\n more: 1\r\n",
		"length":                    "Content-Length: 1\r\n",
		"transfer coding":           "transfer-encoding: chunked\r\n",
		"field of a connection":     "Connection: close\r\n",
		"valid line before another": "X-Even: 1\r\nX Odd: 1\r\n",
	} {
		cases[name] = func(response *schema.ForwardResponse) { response.HeaderBlock = []byte(block) }
	}
	for name, peer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRefused(t, callThroughPeer(t, peer), "BAD_ANSWER")
		})
	}
}

// A valid answer of another proxy reaches the caller, whatever its status and its header are.
func TestValidAnswerOfPeerReachesCaller(t *testing.T) {
	for name, block := range map[string]string{
		"no header":              "",
		"odd name":               "!#$%&'*+-.^_`|~09: 1\r\n",
		"empty value":            "X-Odd: \r\n",
		"tab and high bytes":     "X-Odd: a\tb\xfc\r\n",
		"one name twice":         "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n",
		"colon in a value":       "X-Odd: Content-Length: 1\r\n",
		"a worker's server name": "Server: w\r\nContent-Type: text/plain\r\n",
	} {
		for _, status := range []int32{http.StatusOK, 299, http.StatusNotFound, 599} {
			t.Run(fmt.Sprintf("%s, status %d", name, status), func(t *testing.T) {
				t.Parallel()
				got := callThroughPeer(t, func(response *schema.ForwardResponse) {
					response.Status, response.HeaderBlock = status, []byte(block)
				})
				checkPassed(t, got, int(status), "hello")
				for fieldName, value := range dispatch.Fields([]byte(block)) {
					if !slices.Contains(got.fields.Values(string(fieldName)), string(value)) {
						t.Errorf("caller got fields %v, want %s: %s among them", got.fields, fieldName, value)
					}
				}
			})
		}
	}
}
