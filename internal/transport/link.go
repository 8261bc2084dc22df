// Package link carries drpc between our own processes under mutual TLS.
package transport

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

	"meadowhinge/internal/errs"
	"meadowhinge/internal/socket"
)

// protocolVersion is the version of what our processes say; ALPN refuses any other at the handshake.
const protocolVersion = "meadowhinge/1"

// maxMessageBytes bounds one message, in bytes; a whole setup must fit, and the largest body that
// settings let through with what goes beside it.
const maxMessageBytes = 65 << 20

// Peer is who stands at the other end, as its certificate says.
type Peer struct {
	Role      string // proxy, registry, store
	Name      string
	mayCallAs map[string]bool
	verified  bool
}

// MayCallAs tells whether the peer may make calls for a service or client kind.
func (p Peer) MayCallAs(service string) bool { return p.verified && p.mayCallAs[service] }

// LocalPeer is this process itself, for a dispatch that needs no wire.
func LocalPeer(role, name string, services map[string]bool) Peer {
	return Peer{Role: role, Name: name, mayCallAs: services, verified: true}
}

// peerFromCertificate reads the identity from the URIs of a certificate: mesh:role/name and mesh:speaks/service.
func peerFromCertificate(certificate *x509.Certificate) Peer {
	peer := Peer{mayCallAs: map[string]bool{}, verified: true}
	for _, uri := range certificate.URIs {
		role, name, _ := strings.Cut(uri.Opaque, "/")
		if uri.Scheme != "mesh" || name == "" {
			continue
		}
		if role == "speaks" {
			peer.mayCallAs[name] = true
		} else {
			peer.Role, peer.Name = role, name
		}
	}
	return peer
}

// Transport holds this process's credentials and its open links.
type Transport struct {
	tlsConfig       *tls.Config // nil for plain links
	idle            connPool
	dialTimeout     time.Duration
	self            Peer
	localAddress    net.Addr
	credentialFiles [2]string
	now             func() time.Time

	lock        sync.Mutex
	active      *credentials
	checkedAt   time.Time
	reloadFault string

	// RejectedPeers counts peers turned away for a wrong certificate, protocol or garbage.
	RejectedPeers atomic.Uint64

	meter meter
}

// Option changes a default of Ends.
type Option func(*Transport)

// WithDialTimeout bounds the time to open a link.
func WithDialTimeout(bound time.Duration) Option { return func(t *Transport) { t.dialTimeout = bound } }

// WithClock tells the time by another clock.
func WithClock(now func() time.Time) Option { return func(t *Transport) { t.now = now } }

// WithLocalAddress dials from the IP of an address, so that a machine with several has one face.
func WithLocalAddress(address string) Option {
	return func(t *Transport) {
		if from, err := netip.ParseAddrPort(address); err == nil && !from.Addr().IsUnspecified() {
			t.localAddress = &net.TCPAddr{IP: from.Addr().AsSlice()}
		}
	}
}

// credentials are a process's certificate and whom it trusts, as they were read together.
type credentials struct {
	pair      tls.Certificate
	leaf      *x509.Certificate
	roots     *x509.CertPool
	fileStamp string // of the files they were read from
}

// readCredentials reads credentials and refuses what could not serve.
func readCredentials(certificateFile, authorityFile string, now time.Time) (*credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, certificateFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "certificate")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "authority")
	}
	loaded := &credentials{pair: pair, roots: x509.NewCertPool()}
	if !loaded.roots.AppendCertsFromPEM(authority) {
		return nil, errs.New(errs.InvalidOptions, "authority holds no certificate")
	}
	if loaded.leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "certificate")
	}
	if now.After(loaded.leaf.NotAfter) || now.Before(loaded.leaf.NotBefore) {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is good from %s to %s only", loaded.leaf.NotBefore.Format(time.RFC3339), loaded.leaf.NotAfter.Format(time.RFC3339)))
	}
	return loaded, nil
}

// fileStampOf tells files' contents apart by their times and sizes.
func fileStampOf(files ...string) string {
	stamp := ""
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), ";")
		}
	}
	return stamp
}

// NewTLS reads the credentials of this process. They are read again whenever their files change.
func NewTLS(certificateFile, authorityFile string, opts ...Option) (*Transport, error) {
	transport := &Transport{idle: connPool{byAddress: map[string]*idleConns{}}, dialTimeout: time.Second, credentialFiles: [2]string{certificateFile, authorityFile}, now: time.Now}
	for _, opt := range opts {
		opt(transport)
	}
	stamp := fileStampOf(certificateFile, authorityFile)
	loaded, err := readCredentials(certificateFile, authorityFile, transport.now())
	if err != nil {
		return nil, err
	}
	loaded.fileStamp = stamp
	transport.active, transport.checkedAt, transport.self = loaded, transport.now(), peerFromCertificate(loaded.leaf)
	transport.tlsConfig = &tls.Config{
		// Which certificate is shown is asked anew at each handshake.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &transport.currentCredentials().pair, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &transport.currentCredentials().pair, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolVersion},
		// Peers are named by role, not by host, so the chain is checked here and the name by the caller.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if state.NegotiatedProtocol != protocolVersion {
				return errs.New(errs.Unauthorized, "speaks another protocol")
			}
			certificates := state.PeerCertificates
			if len(certificates) == 0 {
				return errs.New(errs.Unauthorized, "shows no certificate")
			}
			_, err := certificates[0].Verify(x509.VerifyOptions{Roots: transport.currentCredentials().roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return errs.Wrap(err, errs.Unauthorized, "certificate")
		},
	}
	return transport, nil
}

// NewPlaintext makes ends without keys: peers say who they are and are believed. It is for networks
// that only our own processes can reach, where no keys are to be had.
func NewPlaintext(role, name string, mayCallAs []string, opts ...Option) *Transport {
	transport := &Transport{idle: connPool{byAddress: map[string]*idleConns{}}, dialTimeout: time.Second, now: time.Now, self: Peer{Role: role, Name: name, mayCallAs: map[string]bool{}, verified: true}}
	for _, service := range mayCallAs {
		transport.self.mayCallAs[service] = true
	}
	for _, opt := range opts {
		opt(transport)
	}
	return transport
}

// maxGreetingBytes bounds what a peer says of itself on a plain link, in bytes.
const maxGreetingBytes = 4096

// greeting is the line with which a plain link begins: protocol, role, name, whom it speaks for.
func (p Peer) greeting() string {
	return strings.Join([]string{protocolVersion, p.Role, p.Name, strings.Join(slices.Sorted(maps.Keys(p.mayCallAs)), ",")}, " ") + "\n"
}

// readGreeting reads a peer's greeting byte by byte, so that nothing after it is taken.
func readGreeting(raw net.Conn) (Peer, error) {
	line, octet := make([]byte, 0, 64), make([]byte, 1)
	for {
		if _, err := io.ReadFull(raw, octet); err != nil {
			return Peer{}, errs.Wrap(err, errs.Unauthorized, "greeting")
		}
		if octet[0] == '\n' {
			break
		}
		if line = append(line, octet[0]); len(line) > maxGreetingBytes {
			return Peer{}, errs.New(errs.Unauthorized, "greeting is too long")
		}
	}
	fields := strings.Split(string(line), " ")
	const greetingFields = 4
	if len(fields) != greetingFields || fields[0] != protocolVersion {
		return Peer{}, errs.New(errs.Unauthorized, "speaks another protocol")
	}
	peer := Peer{Role: fields[1], Name: fields[2], mayCallAs: map[string]bool{}, verified: true}
	for _, service := range strings.Split(fields[3], ",") {
		if service != "" {
			peer.mayCallAs[service] = true
		}
	}
	return peer, nil
}

// credentialCheckInterval is how often, at most, the files are looked at.
const credentialCheckInterval = time.Second

// currentCredentials gives the credentials as the files have them now. Ones that could not serve are
// refused: the old are kept, and why is shown.
func (t *Transport) currentCredentials() *credentials {
	t.lock.Lock()
	defer t.lock.Unlock()
	if now := t.now(); now.Sub(t.checkedAt) >= credentialCheckInterval {
		t.checkedAt = now
		if stamp := fileStampOf(t.credentialFiles[0], t.credentialFiles[1]); stamp != t.active.fileStamp {
			fresh, err := readCredentials(t.credentialFiles[0], t.credentialFiles[1], now)
			if err == nil {
				if self := peerFromCertificate(fresh.leaf); self.Role != t.self.Role || self.Name != t.self.Name {
					err = errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not %s %q", self.Role, self.Name, t.self.Role, t.self.Name))
				}
			}
			if t.reloadFault = ""; err != nil {
				t.reloadFault = err.Error()
			} else {
				fresh.fileStamp = stamp
				t.active = fresh
			}
		}
	}
	return t.active
}

// CertificateStatus is what a process says of its own certificate.
type CertificateStatus struct {
	Name     string    `json:"name"`
	NotAfter time.Time `json:"notAfter"`
	Fault    string    `json:"fault,omitempty"` // why a newer one in the file is not used
}

// Certificate tells which certificate is in use.
func (t *Transport) Certificate() any {
	if t.tlsConfig == nil {
		return CertificateStatus{Name: t.self.Role + "/" + t.self.Name, Fault: "links are plain: there is none"}
	}
	active := t.currentCredentials()
	t.lock.Lock()
	defer t.lock.Unlock()
	return CertificateStatus{Name: t.self.Role + "/" + t.self.Name, NotAfter: active.leaf.NotAfter, Fault: t.reloadFault}
}

// Self is the identity in this process's own certificate.
func (t *Transport) Self() Peer { return t.self }

func (t *Transport) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dialConn dials; its error marks a link that never came up: nothing can have reached the other side.
func (t *Transport) dialConn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	dialer := &net.Dialer{LocalAddr: t.localAddress, KeepAliveConfig: t.keepAliveConfig(), Control: t.setUserTimeout}
	raw, err := t.countOpened(dialRepeatedly(ctx, t.dialTimeout/dialsPerTimeout, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) }))
	if t.tlsConfig == nil {
		if err == nil {
			if _, err = io.WriteString(raw, t.self.greeting()); err != nil {
				raw.Close()
			}
		}
	} else if err == nil {
		secured := tls.Client(raw, t.tlsConfig)
		if err = secured.HandshakeContext(ctx); err != nil {
			raw.Close()
		}
		raw = secured
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectFailed, address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: t.managerOptions()}), nil
}

// countOpened counts what goes over a link that this process opened.
func (t *Transport) countOpened(raw net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	t.meter.opened.Add(1)
	return countingConn{socket.Wrap(raw), &t.meter}, nil
}

// Ratios to the time that a link may take to open: a peer that does not answer for so long is
// gone. A machine without power says nothing, so without these its links would hang.
const (
	handshakeTimeoutFactor      = 5 // a peer may take so much longer to say who it is
	unacknowledgedTimeoutFactor = 2
	maxKeepAliveProbes          = 3
)

func (t *Transport) keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(time.Second, t.dialTimeout*unacknowledgedTimeoutFactor), Interval: max(time.Second, t.dialTimeout), Count: maxKeepAliveProbes}
}

// setUserTimeout bounds how long what was sent may stay unacknowledged.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var socketErr error
	err := raw.Control(func(fd uintptr) {
		socketErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int((t.dialTimeout * unacknowledgedTimeoutFactor).Milliseconds()))
	})
	if err == nil {
		err = socketErr
	}
	return errs.Wrap(err, errs.PeerConnectFailed, "socket")
}

// Conn gives a connection to address; each call on it takes a link of its own.
func (t *Transport) Conn(_ context.Context, address string) drpc.Conn { return pooledConn{t, address} }

type peerContextKey struct{}

// PeerFromContext tells who made the call being served.
func PeerFromContext(ctx context.Context) Peer {
	peer, _ := ctx.Value(peerContextKey{}).(Peer)
	return peer
}

// Serve answers calls on listener until ctx ends. Roles not allowed are cut at the handshake.
func (t *Transport) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, roles ...string) error {
	server := drpcserver.NewWithOptions(countingHandler{handler, &t.meter}, drpcserver.Options{Manager: t.managerOptions()})
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
			return errs.Wrap(err, errs.Internal, "accept")
		}
		go func() {
			secured, peer, err := t.handshake(ctx, raw)
			if err != nil || !allowed[peer.Role] {
				// Counted first: whoever sees the end may look at the count.
				t.RejectedPeers.Add(1)
				secured.Close()
				return
			}
			defer secured.Close()
			// An error here is a peer that hung up or sent garbage; only the latter has a wire error.
			if err := server.ServeOne(context.WithValue(ctx, peerContextKey{}, peer), secured); err != nil && ctx.Err() == nil && drpc.ProtocolError.Has(err) {
				t.RejectedPeers.Add(1)
			}
		}()
	}
}

// handshake learns who opened a link, within a bound.
func (t *Transport) handshake(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if tcp, isTCP := raw.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAliveConfig(t.keepAliveConfig())
		if inner, err := tcp.SyscallConn(); err == nil {
			_ = t.setUserTimeout("", "", inner)
		}
	}
	raw = countingConn{socket.Wrap(raw), &t.meter}
	if t.tlsConfig == nil {
		_ = raw.SetReadDeadline(time.Now().Add(t.dialTimeout * handshakeTimeoutFactor))
		peer, err := readGreeting(raw)
		_ = raw.SetReadDeadline(time.Time{})
		return raw, peer, err
	}
	secured := tls.Server(raw, t.tlsConfig)
	handshakeCtx, cancel := context.WithTimeout(ctx, t.dialTimeout*handshakeTimeoutFactor)
	defer cancel()
	if err := secured.HandshakeContext(handshakeCtx); err != nil {
		return secured, Peer{}, errs.Wrap(err, errs.Unauthorized, "handshake")
	}
	return secured, peerFromCertificate(secured.ConnectionState().PeerCertificates[0]), nil
}

// Close ends all links that wait for a call.
func (t *Transport) Close() { t.idle.close() }
