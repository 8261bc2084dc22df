package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"meadowhinge/internal/errs"
)

// protocolVersion is the version of the messages between mesh processes; a peer with another is refused at the
// handshake.
const protocolVersion = "meadowhinge/1"

// maxMessageBytes bounds one message, in bytes. A complete configuration must fit, and so must the largest body
// that the settings allow with the fields beside it.
const maxMessageBytes = 65 << 20

// defaultDialTimeout is the time in which a connection must open unless WithDialTimeout sets another.
const defaultDialTimeout = time.Second

// Transport is this process's end of all RPCs to and from other processes.
type Transport struct {
	tlsConfig       *tls.Config // nil for plaintext
	idle            connPool
	dialTimeout     time.Duration
	self            Peer
	localAddress    net.Addr // to dial from, nil for any
	certificateFile string   // empty for plaintext
	authorityFile   string   // empty for plaintext
	now             func() time.Time

	lock        sync.Mutex   // guards the fields up to reloadFault
	active      *credentials // nil for plaintext
	checkedAt   time.Time    // when the credential files were last checked
	reloadFault string       // why the credential files' content is not in use, empty if it is

	// RejectedPeers counts the peers rejected for a wrong certificate or protocol, or for malformed messages. Callers
	// add the peers that they reject themselves.
	RejectedPeers atomic.Uint64

	meter meter
}

// Option changes a default of a Transport.
type Option func(*Transport)

// WithDialTimeout sets the time in which a connection must open.
func WithDialTimeout(bound time.Duration) Option { return func(t *Transport) { t.dialTimeout = bound } }

// WithClock sets the clock by which certificates expire and are reloaded.
func WithClock(now func() time.Time) Option { return func(t *Transport) { t.now = now } }

// WithLocalAddress dials from the IP of an IP:port, so that a machine with several addresses has one identity.
// An address that is unspecified or not IP:port changes nothing.
func WithLocalAddress(address string) Option {
	return func(t *Transport) {
		if from, err := netip.ParseAddrPort(address); err == nil && !from.Addr().IsUnspecified() {
			t.localAddress = &net.TCPAddr{IP: from.Addr().AsSlice()}
		}
	}
}

func newTransport(opts []Option) *Transport {
	transport := &Transport{
		idle:        connPool{byAddress: map[string]*idleConns{}},
		dialTimeout: defaultDialTimeout,
		now:         time.Now,
	}
	for _, opt := range opts {
		opt(transport)
	}
	return transport
}

// NewTLS makes a transport with mutual TLS. certificateFile has this process's certificate and key, authorityFile
// the mesh's certificate authority, both in PEM; they are reloaded when they change. Errors are InvalidOptions.
func NewTLS(certificateFile, authorityFile string, opts ...Option) (*Transport, error) {
	transport := newTransport(opts)
	transport.certificateFile = certificateFile
	transport.authorityFile = authorityFile
	stamp := fileStampOf(certificateFile, authorityFile)
	loaded, err := readCredentials(certificateFile, authorityFile, transport.now())
	if err != nil {
		return nil, err
	}
	loaded.fileStamp = stamp
	transport.active = loaded
	transport.checkedAt = transport.now()
	transport.self = peerFromCertificate(loaded.leaf)
	transport.tlsConfig = transport.newTLSConfig()
	return transport, nil
}

// NewPlaintext makes a transport without encryption: peers say in a greeting who they are, and are believed. It
// is for networks that only the mesh's own processes can reach and where there are no keys.
func NewPlaintext(role, name string, mayCallAs []string, opts ...Option) *Transport {
	transport := newTransport(opts)
	transport.self = Peer{Role: role, Name: name, mayCallAs: map[string]bool{}, verified: true}
	for _, service := range mayCallAs {
		transport.self.mayCallAs[service] = true
	}
	return transport
}

// newTLSConfig gives the configuration for both ends of a connection. Certificates are looked up at each
// handshake, so that reloaded ones count from the next connection on.
func (t *Transport) newTLSConfig() *tls.Config {
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &t.currentCredentials().pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.currentCredentials().pair, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolVersion},
		// Certificates name a role, not a host: verifyPeer checks the chain, and the callers check the role.
		InsecureSkipVerify: true,
		VerifyConnection:   t.verifyPeer,
	}
}

// verifyPeer checks a peer's protocol version, and its certificate against the authority.
func (t *Transport) verifyPeer(state tls.ConnectionState) error {
	if state.NegotiatedProtocol != protocolVersion {
		return otherProtocolError()
	}
	certificates := state.PeerCertificates
	if len(certificates) == 0 {
		return errs.New(errs.Unauthorized, "shows no certificate")
	}
	_, err := certificates[0].Verify(x509.VerifyOptions{
		Roots:     t.currentCredentials().roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errs.Wrap(err, errs.Unauthorized, "certificate")
}

// Self is this process's own identity.
func (t *Transport) Self() Peer { return t.self }

// Conn gives a connection to an address, which opens on the first call. Each call on it has a network connection
// of its own, taken from the idle ones or dialed.
func (t *Transport) Conn(_ context.Context, address string) drpc.Conn { return pooledConn{t, address} }

// Close closes all idle connections; those with a call are closed after it.
func (t *Transport) Close() { t.idle.close() }

func (t *Transport) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
