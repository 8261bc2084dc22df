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

// protocolVersion is the version of the messages between mesh processes. A peer with a different version is rejected
// at the handshake.
const protocolVersion = "meadowhinge/1"

// maxMessageBytes is the size limit of one message, in bytes. A message must be able to hold a complete configuration,
// or the largest body that the settings allow together with the message's other fields.
const maxMessageBytes = 65 << 20

// defaultDialTimeout bounds opening a connection, including the handshake, unless WithDialTimeout sets another bound.
const defaultDialTimeout = time.Second

// Transport sends and serves all RPCs between this process and other processes.
type Transport struct {
	tlsConfig       *tls.Config      // nil for plaintext
	idle            connPool         // connections that no RPC uses
	dialTimeout     time.Duration    // bounds opening a connection; the timeouts in keepalive.go are multiples of it
	self            Peer             // this process's own identity
	localAddress    net.Addr         // source address of outgoing connections; nil lets the kernel choose
	certificateFile string           // PEM file of the certificate and its key; empty for plaintext
	authorityFile   string           // PEM file of the certificate authority; empty for plaintext
	now             func() time.Time // clock for this process's certificate; time.Now unless WithClock sets another

	lock        sync.Mutex   // guards active, checkedAt and reloadFault
	active      *credentials // credentials in use; nil for plaintext
	checkedAt   time.Time    // time of the last check whether the credential files changed
	reloadFault string       // why the last reload of the credential files failed; empty if it succeeded

	// RejectedPeers counts the peers rejected for a wrong certificate or protocol, a role that is not allowed, or
	// malformed messages. Code that serves the RPCs adds the peers that it rejects itself.
	RejectedPeers atomic.Uint64

	meter meter // traffic counters
}

// Option changes a default of a Transport.
type Option func(*Transport)

// WithDialTimeout bounds the time that opening a connection may take.
func WithDialTimeout(bound time.Duration) Option { return func(t *Transport) { t.dialTimeout = bound } }

// WithClock replaces time.Now as the clock for the validity of this process's certificate and for the interval between
// reload checks. The validity of peers' certificates is always checked with time.Now.
func WithClock(now func() time.Time) Option { return func(t *Transport) { t.now = now } }

// WithLocalAddress makes outgoing connections come from the IP of address, which is IP:port, so that peers see a
// machine with several IPs under one of them. An unspecified IP, or an address that is not IP:port, has no effect.
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

// NewTLS returns a transport with mutual TLS. certificateFile holds this process's certificate and key, authorityFile
// the mesh's certificate authority, both in PEM. Both files are reloaded when they change. Errors are InvalidOptions.
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

// NewPlaintext returns a transport without encryption or authentication: the identity that a peer states in its
// greeting is not verified. It is for networks without keys that only the mesh's own processes can reach. mayCallAs
// lists the services and client kinds on whose behalf this process may make calls.
func NewPlaintext(role, name string, mayCallAs []string, opts ...Option) *Transport {
	transport := newTransport(opts)
	transport.self = Peer{Role: role, Name: name, mayCallAs: map[string]bool{}, identified: true}
	for _, service := range mayCallAs {
		transport.self.mayCallAs[service] = true
	}
	return transport
}

// newTLSConfig returns the configuration for both ends of a connection. The certificate is looked up at each
// handshake, so that a reloaded one is used from the next connection on.
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
		// Certificates identify a role, not a host. verifyPeer checks the chain in place of the standard library,
		// and Serve checks the role of a peer that connects.
		InsecureSkipVerify: true,
		VerifyConnection:   t.verifyPeer,
	}
}

// verifyPeer checks a peer's protocol version, and its certificate against the authority. Errors are Unauthorized.
func (t *Transport) verifyPeer(state tls.ConnectionState) error {
	if state.NegotiatedProtocol != protocolVersion {
		return otherProtocolError()
	}
	certificates := state.PeerCertificates
	if len(certificates) == 0 {
		return errs.New(errs.Unauthorized, "peer presented no certificate")
	}
	_, err := certificates[0].Verify(x509.VerifyOptions{
		Roots:     t.currentCredentials().roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errs.Wrap(err, errs.Unauthorized, "verify peer certificate")
}

// Self returns this process's own identity.
func (t *Transport) Self() Peer { return t.self }

// Conn returns a drpc.Conn to an address. It does not dial: each RPC takes an idle network connection or dials a new
// one, and has that connection to itself until it ends.
func (t *Transport) Conn(_ context.Context, address string) drpc.Conn { return pooledConn{t, address} }

// Close closes all idle connections. A connection that an RPC uses is closed when the RPC ends.
func (t *Transport) Close() { t.idle.close() }

func (t *Transport) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
