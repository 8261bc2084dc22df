package rehearsal

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// lastsHeader asks a worker to take so many milliseconds for a request, or until its connection ends.
const lastsHeader = "X-Lasts-Ms"

// Bounds of what leaving callers do.
const (
	leaverPause = 150 * time.Millisecond // mean time between two calls of one leaver
	leaverStays = 300 * time.Millisecond // mean time for which it waits before it leaves
	leaverWork  = 1800 * time.Millisecond
	leaverReads = 4 * time.Second // for which it waits for an answer, if it does
	leaversEach = 3               // at each proxy
)

// outcomeLeft is the outcome of a call whose caller left before it was answered.
const outcomeLeft = "left"

// way is how a leaver ends a call.
type way int

const (
	closes way = iota // closes its connection
	resets            // resets it
	halves            // closes its sending side, and reads the answer
	stays             // reads the answer, and uses the connection for the next call
	ways
)

// Leaver is a stand-in caller that leaves before it is answered, in all the ways there are. It keeps a
// connection for as long as that stands, whatever it was told of it.
type Leaver struct {
	name, proxy, address string
	routes               []RoutePlan
	ledger               *Ledger
	now                  func() time.Duration

	conn   net.Conn
	reader *bufio.Reader
	number int // of the leavers at its proxy
	serial int
}

// NewLeaver makes a leaver that calls the routes of a caller at one proxy.
func NewLeaver(caller *Caller, address string, number int) *Leaver {
	return &Leaver{name: caller.name, number: number, proxy: caller.proxy, address: address, routes: caller.routes, ledger: caller.ledger, now: caller.now}
}

// Run makes calls until stop is closed.
func (l *Leaver) Run(stop <-chan struct{}, dice *rand.Rand) {
	defer l.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(dice.Int64N(int64(2 * leaverPause)))):
		}
		l.call(l.routes[dice.IntN(len(l.routes))], way(dice.IntN(int(ways))), dice)
	}
}

// call makes one call and ends it in a way.
func (l *Leaver) call(route RoutePlan, end way, dice *rand.Rand) {
	l.serial++
	entry := CallEntry{Op: fmt.Sprintf("leaver-%d-%s@%s-%d", l.number, l.name, l.proxy, l.serial), Caller: l.name, Proxy: l.proxy, Service: route.Service, Route: route.Name, Once: route.Once}
	work := time.Duration(dice.Int64N(int64(leaverWork)))
	waits := time.Duration(dice.Int64N(int64(2 * leaverStays)))
	entry.Sent = l.now()
	defer func() { note(l.ledger, &l.ledger.Calls, entry) }()
	if !l.dial() {
		entry.Outcome, entry.Got = "unsent", l.now()
		return
	}
	if err := l.send(&entry, route, work); err != nil {
		entry.Outcome, entry.Got = "unknown", l.now()
		l.drop()
		return
	}
	switch end {
	case closes, resets:
		time.Sleep(waits)
		if tcp, is := l.conn.(*net.TCPConn); is && end == resets {
			_ = tcp.SetLinger(0)
		}
		entry.Outcome, entry.Got = outcomeLeft, l.now()
		l.drop()
	case halves:
		if tcp, is := l.conn.(*net.TCPConn); is {
			_ = tcp.CloseWrite()
		}
		l.read(&entry)
		l.drop()
	default:
		l.read(&entry)
	}
}

// dial opens a connection where none is left.
func (l *Leaver) dial() bool {
	if l.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", l.address, time.Second)
	if err != nil {
		return false
	}
	l.conn, l.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends a call on the connection.
func (l *Leaver) send(entry *CallEntry, route RoutePlan, work time.Duration) error {
	_ = l.conn.SetDeadline(time.Now().Add(leaverReads))
	_, err := fmt.Fprintf(l.conn, "%s %s?n=1 HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\nX-User: leaver\r\n%s: %d\r\nContent-Length: 2\r\n\r\n{}",
		route.Method, route.Prefix, opHeader, entry.Op, lastsHeader, work.Milliseconds())
	return err
}

// read reads the final answer, past interim ones.
func (l *Leaver) read(entry *CallEntry) {
	for {
		got, err := http.ReadResponse(l.reader, nil)
		if err != nil {
			entry.Outcome, entry.Got = "unknown", l.now()
			l.drop()
			return
		}
		body, err := io.ReadAll(got.Body)
		got.Body.Close()
		if got.StatusCode < http.StatusOK && err == nil {
			continue
		}
		entry.Got = l.now()
		if err != nil {
			entry.Outcome = "unknown"
			l.drop()
			return
		}
		entry.read(got.StatusCode, got.Header.Get, body)
		return
	}
}

func (l *Leaver) drop() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}
