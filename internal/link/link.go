// Package link carries drpc between our own processes under mutual TLS.
package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/socket"
)

// protocol is the version of what our processes say; ALPN refuses any other at the handshake.
const protocol = "meadowhinge/1"

// messageMost bounds one message, in bytes; a whole setup must fit, and the largest body that
// settings let through with what goes beside it.
const messageMost = 65 << 20

// Peer is who stands at the other end, as its certificate says.
type Peer struct {
	Role     string // proxy, registry, store
	Name     string
	speaks   map[string]bool
	verified bool
}

// Speaks tells whether the peer may make calls for a service or client kind.
func (p Peer) Speaks(service string) bool { return p.verified && p.speaks[service] }

// Local is this process itself, for a dispatch that needs no wire.
func Local(role, name string, services map[string]bool) Peer {
	return Peer{Role: role, Name: name, speaks: services, verified: true}
}

// peerOf reads the identity from the URIs of a certificate: mesh:role/name and mesh:speaks/service.
func peerOf(certificate *x509.Certificate) Peer {
	peer := Peer{speaks: map[string]bool{}, verified: true}
	for _, address := range certificate.URIs {
		role, name, _ := strings.Cut(address.Opaque, "/")
		if address.Scheme != "mesh" || name == "" {
			continue
		}
		if role == "speaks" {
			peer.speaks[name] = true
		} else {
			peer.Role, peer.Name = role, name
		}
	}
	return peer
}

// Ends holds this process's credentials and its open links.
type Ends struct {
	config  *tls.Config // nil for plain links
	resting shelves
	dial    time.Duration
	self    Peer
	from    net.Addr
	files   [2]string
	now     func() time.Time

	lock    sync.Mutex
	held    *credentials
	checked time.Time
	fault   string

	// Refused counts peers turned away for a wrong certificate, protocol or garbage.
	Refused atomic.Uint64

	meter meter
}

// Option changes a default of Ends.
type Option func(*Ends)

// WithDial bounds the time to open a link.
func WithDial(bound time.Duration) Option { return func(e *Ends) { e.dial = bound } }

// WithClock tells the time by another clock.
func WithClock(now func() time.Time) Option { return func(e *Ends) { e.now = now } }

// WithFrom dials from the IP of an address, so that a machine with several has one face.
func WithFrom(address string) Option {
	return func(e *Ends) {
		if from, err := netip.ParseAddrPort(address); err == nil && !from.Addr().IsUnspecified() {
			e.from = &net.TCPAddr{IP: from.Addr().AsSlice()}
		}
	}
}

// credentials are a process's certificate and whom it trusts, as they were read together.
type credentials struct {
	pair    tls.Certificate
	leaf    *x509.Certificate
	trusted *x509.CertPool
	stamp   string // of the files they were read from
}

// read reads credentials and refuses what could not serve.
func read(certificateFile, authorityFile string, now time.Time) (*credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, certificateFile)
	if err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, "certificate")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, "authority")
	}
	held := &credentials{pair: pair, trusted: x509.NewCertPool()}
	if !held.trusted.AppendCertsFromPEM(authority) {
		return nil, defect.New(defect.BadOptions, "authority holds no certificate")
	}
	if held.leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, "certificate")
	}
	if now.After(held.leaf.NotAfter) || now.Before(held.leaf.NotBefore) {
		return nil, defect.New(defect.BadOptions, fmt.Sprintf("certificate is good from %s to %s only", held.leaf.NotBefore.Format(time.RFC3339), held.leaf.NotAfter.Format(time.RFC3339)))
	}
	return held, nil
}

// stampOf tells files' contents apart by their times and sizes.
func stampOf(files ...string) string {
	stamp := ""
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), ";")
		}
	}
	return stamp
}

// Load reads the credentials of this process. They are read again whenever their files change.
func Load(certificateFile, authorityFile string, changes ...Option) (*Ends, error) {
	ends := &Ends{resting: shelves{byAddress: map[string]*shelf{}}, dial: time.Second, files: [2]string{certificateFile, authorityFile}, now: time.Now}
	for _, change := range changes {
		change(ends)
	}
	stamp := stampOf(certificateFile, authorityFile)
	held, err := read(certificateFile, authorityFile, ends.now())
	if err != nil {
		return nil, err
	}
	held.stamp = stamp
	ends.held, ends.checked, ends.self = held, ends.now(), peerOf(held.leaf)
	ends.config = &tls.Config{
		// Which certificate is shown is asked anew at each handshake.
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &ends.current().pair, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &ends.current().pair, nil },
		ClientAuth:           tls.RequireAnyClientCert,
		MinVersion:           tls.VersionTLS13,
		NextProtos:           []string{protocol},
		// Peers are named by role, not by host, so the chain is checked here and the name by the caller.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if state.NegotiatedProtocol != protocol {
				return defect.New(defect.Stranger, "speaks another protocol")
			}
			shown := state.PeerCertificates
			if len(shown) == 0 {
				return defect.New(defect.Stranger, "shows no certificate")
			}
			_, err := shown[0].Verify(x509.VerifyOptions{Roots: ends.current().trusted, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return defect.Wrap(err, defect.Stranger, "certificate")
		},
	}
	return ends, nil
}

// Plain makes ends without keys: peers say who they are and are believed. It is for networks
// that only our own processes can reach, where no keys are to be had.
func Plain(role, name string, speaks []string, changes ...Option) *Ends {
	ends := &Ends{resting: shelves{byAddress: map[string]*shelf{}}, dial: time.Second, now: time.Now, self: Peer{Role: role, Name: name, speaks: map[string]bool{}, verified: true}}
	for _, service := range speaks {
		ends.self.speaks[service] = true
	}
	for _, change := range changes {
		change(ends)
	}
	return ends
}

// greetingMost bounds what a peer says of itself on a plain link, in bytes.
const greetingMost = 4096

// greeting is the line with which a plain link begins: protocol, role, name, whom it speaks for.
func (p Peer) greeting() string {
	return strings.Join([]string{protocol, p.Role, p.Name, strings.Join(slices.Sorted(maps.Keys(p.speaks)), ",")}, " ") + "\n"
}

// readGreeting reads a peer's greeting byte by byte, so that nothing after it is taken.
func readGreeting(raw net.Conn) (Peer, error) {
	line, one := make([]byte, 0, 64), make([]byte, 1)
	for {
		if _, err := io.ReadFull(raw, one); err != nil {
			return Peer{}, defect.Wrap(err, defect.Stranger, "greeting")
		}
		if one[0] == '\n' {
			break
		}
		if line = append(line, one[0]); len(line) > greetingMost {
			return Peer{}, defect.New(defect.Stranger, "greeting is too long")
		}
	}
	words := strings.Split(string(line), " ")
	const wordsOfGreeting = 4
	if len(words) != wordsOfGreeting || words[0] != protocol {
		return Peer{}, defect.New(defect.Stranger, "speaks another protocol")
	}
	peer := Peer{Role: words[1], Name: words[2], speaks: map[string]bool{}, verified: true}
	for _, service := range strings.Split(words[3], ",") {
		if service != "" {
			peer.speaks[service] = true
		}
	}
	return peer, nil
}

// checkEvery is how often, at most, the files are looked at.
const checkEvery = time.Second

// current gives the credentials as the files have them now. Ones that could not serve are
// refused: the old are kept, and why is shown.
func (e *Ends) current() *credentials {
	e.lock.Lock()
	defer e.lock.Unlock()
	if now := e.now(); now.Sub(e.checked) >= checkEvery {
		e.checked = now
		if stamp := stampOf(e.files[0], e.files[1]); stamp != e.held.stamp {
			fresh, err := read(e.files[0], e.files[1], now)
			if err == nil {
				if self := peerOf(fresh.leaf); self.Role != e.self.Role || self.Name != e.self.Name {
					err = defect.New(defect.BadOptions, fmt.Sprintf("certificate is for %s %q, not %s %q", self.Role, self.Name, e.self.Role, e.self.Name))
				}
			}
			if e.fault = ""; err != nil {
				e.fault = err.Error()
			} else {
				fresh.stamp = stamp
				e.held = fresh
			}
		}
	}
	return e.held
}

// Certificate is what a process says of its own certificate.
type Certificate struct {
	Name     string    `json:"name"`
	NotAfter time.Time `json:"notAfter"`
	Fault    string    `json:"fault,omitempty"` // why a newer one in the file is not used
}

// Certificate tells which certificate is in use.
func (e *Ends) Certificate() any {
	if e.config == nil {
		return Certificate{Name: e.self.Role + "/" + e.self.Name, Fault: "links are plain: there is none"}
	}
	held := e.current()
	e.lock.Lock()
	defer e.lock.Unlock()
	return Certificate{Name: e.self.Role + "/" + e.self.Name, NotAfter: held.leaf.NotAfter, Fault: e.fault}
}

// Self is the identity in this process's own certificate.
func (e *Ends) Self() Peer { return e.self }

func (e *Ends) limits() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: messageMost}}
}

// open dials; its error marks a link that never came up: nothing can have reached the other side.
func (e *Ends) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.dial)
	defer cancel()
	plain := &net.Dialer{LocalAddr: e.from, KeepAliveConfig: e.alive(), Control: e.control}
	raw, err := e.dialed(race(ctx, e.dial/redialParts, func(ctx context.Context) (net.Conn, error) { return plain.DialContext(ctx, "tcp", address) }))
	if e.config == nil {
		if err == nil {
			if _, err = io.WriteString(raw, e.self.greeting()); err != nil {
				raw.Close()
			}
		}
	} else if err == nil {
		secured := tls.Client(raw, e.config)
		if err = secured.HandshakeContext(ctx); err != nil {
			raw.Close()
		}
		raw = secured
	}
	if err != nil {
		return nil, defect.Wrap(err, defect.LinkUnopened, address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: e.limits()}), nil
}

// dialed counts what goes over a link that this process opened.
func (e *Ends) dialed(raw net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	e.meter.opened.Add(1)
	return metered{socket.Of(raw), &e.meter}, nil
}

// Ratios to the time that a link may take to open: a peer that does not answer for so long is
// gone. A machine without power says nothing, so without these its links would hang.
const (
	greetParts   = 5 // a peer may take so much longer to say who it is
	unheardParts = 2
	probesMost   = 3
)

func (e *Ends) alive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(time.Second, e.dial*unheardParts), Interval: max(time.Second, e.dial), Count: probesMost}
}

// control bounds how long what was sent may stay unacknowledged.
func (e *Ends) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(handle uintptr) {
		failed = unix.SetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int((e.dial * unheardParts).Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return defect.Wrap(err, defect.LinkUnopened, "socket")
}

// To gives a connection to address; each call on it takes a link of its own.
func (e *Ends) To(_ context.Context, address string) drpc.Conn { return reach{e, address} }

type peerKey struct{}

// PeerOf tells who made the call being served.
func PeerOf(ctx context.Context) Peer {
	peer, _ := ctx.Value(peerKey{}).(Peer)
	return peer
}

// Serve answers calls on listener until ctx ends. Roles not allowed are cut at the handshake.
func (e *Ends) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, roles ...string) error {
	server := drpcserver.NewWithOptions(counting{handler, &e.meter}, drpcserver.Options{Manager: e.limits()})
	allowed := map[string]bool{}
	for _, role := range roles {
		allowed[role] = true
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		listener.Close()
	}()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				// Whoever comes next at this address can listen there.
				<-closed
				return nil
			}
			return defect.Wrap(err, defect.Internal, "accept")
		}
		go func() {
			secured, peer, err := e.greet(ctx, raw)
			if err != nil || !allowed[peer.Role] {
				// Counted first: whoever sees the end may look at the count.
				e.Refused.Add(1)
				secured.Close()
				return
			}
			defer secured.Close()
			// An error here is a peer that hung up or sent garbage; only the latter has a wire error.
			if err := server.ServeOne(context.WithValue(ctx, peerKey{}, peer), secured); err != nil && ctx.Err() == nil && drpc.ProtocolError.Has(err) {
				e.Refused.Add(1)
			}
		}()
	}
}

// greet learns who opened a link, within a bound.
func (e *Ends) greet(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if tcp, is := raw.(*net.TCPConn); is {
		_ = tcp.SetKeepAliveConfig(e.alive())
		if inner, err := tcp.SyscallConn(); err == nil {
			_ = e.control("", "", inner)
		}
	}
	raw = metered{socket.Of(raw), &e.meter}
	if e.config == nil {
		_ = raw.SetReadDeadline(time.Now().Add(e.dial * greetParts))
		peer, err := readGreeting(raw)
		_ = raw.SetReadDeadline(time.Time{})
		return raw, peer, err
	}
	secured := tls.Server(raw, e.config)
	greeting, cancel := context.WithTimeout(ctx, e.dial*greetParts)
	defer cancel()
	if err := secured.HandshakeContext(greeting); err != nil {
		return secured, Peer{}, defect.Wrap(err, defect.Stranger, "handshake")
	}
	return secured, peerOf(secured.ConnectionState().PeerCertificates[0]), nil
}

// Close ends all links that wait for a call.
func (e *Ends) Close() { e.resting.close() }
