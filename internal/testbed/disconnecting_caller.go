package testbed

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// workDurationHeader asks a worker to take so many milliseconds for a request, or until its connection ends.
const workDurationHeader = "X-Lasts-Ms"

// Times of disconnecting callers, and their number.
const (
	meanDisconnectCallGap        = 150 * time.Millisecond // mean time between two calls of one caller
	meanDisconnectDelay          = 300 * time.Millisecond // mean time for which it waits before it disconnects
	maxDisconnectedWork          = 1800 * time.Millisecond
	disconnectingReadTimeout     = 4 * time.Second // for which it waits for a response, if it does
	disconnectingCallersPerProxy = 3               // at each proxy
)

// outcomeDisconnected is the outcome of a call whose caller disconnected before it was answered.
const outcomeDisconnected = "left"

// disconnectMode is how a disconnecting caller ends a call.
type disconnectMode int

const (
	modeClose        disconnectMode = iota // closes its connection
	modeReset                              // resets it
	modeHalfClose                          // closes its sending side, and reads the response
	modeReadResponse                       // reads the response, and uses the connection for the next call
	disconnectModes
)

// DisconnectingCaller is a fake caller that disconnects before it gets its response, in all the ways there are. It
// keeps a connection for as long as that lasts. It is used from one goroutine.
type DisconnectingCaller struct {
	name, proxy, address string
	routes               []RouteSpec
	history              *History
	now                  func() time.Duration

	conn   net.Conn
	reader *bufio.Reader
	number int // among the disconnecting callers at its proxy
	serial int
}

// NewDisconnectingCaller makes a disconnecting caller of the routes of a caller, at one proxy. Its number sets it
// apart from the others there.
func NewDisconnectingCaller(caller *Caller, address string, number int) *DisconnectingCaller {
	return &DisconnectingCaller{
		name:    caller.name,
		number:  number,
		proxy:   caller.proxy,
		address: address,
		routes:  caller.routes,
		history: caller.history,
		now:     caller.now,
	}
}

// Run makes calls until stop closes.
func (c *DisconnectingCaller) Run(stop <-chan struct{}, rng *rand.Rand) {
	defer c.closeConn()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * meanDisconnectCallGap)))):
		}
		c.call(c.routes[rng.IntN(len(c.routes))], disconnectMode(rng.IntN(int(disconnectModes))), rng)
	}
}

// call makes one call, ends it in the given mode, and records it.
func (c *DisconnectingCaller) call(route RouteSpec, mode disconnectMode, rng *rand.Rand) {
	c.serial++
	entry := CallEntry{
		Operation:     fmt.Sprintf("leaver-%d-%s@%s-%d", c.number, c.name, c.proxy, c.serial),
		Caller:        c.name,
		Proxy:         c.proxy,
		Service:       route.Service,
		Route:         route.Name,
		NonIdempotent: route.NonIdempotent,
	}
	work := time.Duration(rng.Int64N(int64(maxDisconnectedWork)))
	delay := time.Duration(rng.Int64N(int64(2 * meanDisconnectDelay)))
	entry.Sent = c.now()
	defer func() { appendEntry(c.history, &c.history.Calls, entry) }()
	if !c.dial() {
		entry.Outcome, entry.Received = "unsent", c.now()
		return
	}
	if err := c.send(&entry, route, work); err != nil {
		entry.Outcome, entry.Received = "unknown", c.now()
		c.closeConn()
		return
	}
	switch mode {
	case modeClose, modeReset:
		time.Sleep(delay)
		if tcp, isTCP := c.conn.(*net.TCPConn); isTCP && mode == modeReset {
			_ = tcp.SetLinger(0)
		}
		entry.Outcome, entry.Received = outcomeDisconnected, c.now()
		c.closeConn()
	case modeHalfClose:
		if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
			_ = tcp.CloseWrite()
		}
		c.read(&entry)
		c.closeConn()
	default:
		c.read(&entry)
	}
}

// dial opens a connection, unless one is left.
func (c *DisconnectingCaller) dial() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends a request on the connection.
func (c *DisconnectingCaller) send(entry *CallEntry, route RouteSpec, work time.Duration) error {
	_ = c.conn.SetDeadline(time.Now().Add(disconnectingReadTimeout))
	_, err := fmt.Fprintf(c.conn, "%s %s?n=1 HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\nX-User: leaver\r\n%s: %d\r\nContent-Length: 2\r\n\r\n{}",
		route.Method, route.Prefix, operationHeader, entry.Operation, workDurationHeader, work.Milliseconds())
	return err
}

// read reads the final response, past interim ones, and its outcome.
func (c *DisconnectingCaller) read(entry *CallEntry) {
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			entry.Outcome, entry.Received = "unknown", c.now()
			c.closeConn()
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // read to its end, or its connection is closed
		if response.StatusCode < http.StatusOK && err == nil {
			continue
		}
		entry.Received = c.now()
		if err != nil {
			entry.Outcome = "unknown"
			c.closeConn()
			return
		}
		entry.readResponse(response.StatusCode, response.Header.Get, body)
		return
	}
}

// closeConn closes the connection, if there is one.
func (c *DisconnectingCaller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // a lost connection is as good as a closed one
		c.conn = nil
	}
}
