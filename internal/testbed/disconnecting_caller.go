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

// workDurationHeader is the request header with the time in milliseconds that a worker is to take for the request. The
// worker stops earlier if the connection ends.
const workDurationHeader = "X-Lasts-Ms"

// Timing and number of disconnecting callers.
const (
	meanDisconnectCallGap        = 150 * time.Millisecond  // mean time between two calls of a caller
	meanDisconnectDelay          = 300 * time.Millisecond  // mean time from sending a request to disconnecting
	maxDisconnectedWork          = 1800 * time.Millisecond // largest value of workDurationHeader
	disconnectingReadTimeout     = 4 * time.Second         // longest time from sending a request to the end of its response
	disconnectingCallersPerProxy = 3                       // number of callers at each proxy
)

// outcomeDisconnected is the outcome of a call whose caller disconnected before it was answered.
const outcomeDisconnected = "left"

// disconnectMode is the way in which a DisconnectingCaller ends a call.
type disconnectMode int

// Modes of disconnecting callers.
const (
	modeClose        disconnectMode = iota // close the connection
	modeReset                              // reset the connection
	modeHalfClose                          // close the sending side of the connection and read the response
	modeReadResponse                       // read the response and keep the connection for the next call
	disconnectModes                        // number of modes
)

// DisconnectingCaller is a fake caller that ends each call in a random disconnectMode. In the modes modeClose and
// modeReset it disconnects without waiting for the response. It reuses its connection for as long as that stays open. It
// must be used from one goroutine.
type DisconnectingCaller struct {
	name    string // clientCaller or the name of a service
	proxy   string // name of the proxy
	address string // IP:port of the proxy's listener
	routes  []RouteSpec
	history *History
	now     func() time.Duration // time since the run began

	conn   net.Conn      // nil while there is no connection
	reader *bufio.Reader // buffered reader of conn
	number int           // index among the disconnecting callers of the same proxy
	serial int           // number of calls so far; the operation of a call contains its number
}

// NewDisconnectingCaller returns a disconnecting caller that has the name, the proxy, the routes and the history of the
// given caller. The address is that of the proxy's listener. The number must be unique at this proxy.
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

// Run makes one call after another until stop closes. All random choices come from rng.
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

// call makes one call that asks the worker for a random duration, ends it in the given mode, and records it.
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

// dial opens a connection unless there is one. It reports whether there is a connection now.
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

// send writes a request to the connection.
func (c *DisconnectingCaller) send(entry *CallEntry, route RouteSpec, work time.Duration) error {
	_ = c.conn.SetDeadline(time.Now().Add(disconnectingReadTimeout))
	_, err := fmt.Fprintf(c.conn, "%s %s?n=1 HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\nX-User: leaver\r\n%s: %d\r\nContent-Length: 2\r\n\r\n{}",
		route.Method, route.Prefix, operationHeader, entry.Operation, workDurationHeader, work.Milliseconds())
	return err
}

// read reads responses until the final one and fills in the entry from it. If that fails, it closes the connection and
// sets the outcome to unknown.
func (c *DisconnectingCaller) read(entry *CallEntry) {
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			entry.Outcome, entry.Received = "unknown", c.now()
			c.closeConn()
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // the body was read to its end, or the connection is closed below
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
		_ = c.conn.Close() // an error means that the connection is lost, which has the same effect
		c.conn = nil
	}
}
