package transport

import (
	"context"
	"crypto/x509"
	"strings"
)

// Peer is the identity of the process at the other end of a connection. It comes from the peer's certificate or, on a
// plaintext connection, from its greeting.
type Peer struct {
	Role       string          // proxy, registry or store
	Name       string          // name of the process
	mayCallAs  map[string]bool // services and client kinds on whose behalf the peer may make calls
	identified bool            // false only for the zero Peer; true says nothing of whether the identity was verified
}

// MayCallAs reports whether the peer may make calls on behalf of a service or client kind.
func (p Peer) MayCallAs(service string) bool { return p.identified && p.mayCallAs[service] }

// LocalPeer returns a Peer for this process itself, for calls that it serves without a connection.
func LocalPeer(role, name string, services map[string]bool) Peer {
	return Peer{Role: role, Name: name, mayCallAs: services, identified: true}
}

// peerFromCertificate reads the identity from the URIs of a certificate: mesh:role/name, and mesh:speaks/service
// for each service or client kind on whose behalf the peer may make calls.
func peerFromCertificate(certificate *x509.Certificate) Peer {
	peer := Peer{mayCallAs: map[string]bool{}, identified: true}
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

type peerContextKey struct{}

// PeerFromContext returns the peer that made the RPC that ctx belongs to. Outside a served RPC it returns the zero
// Peer.
func PeerFromContext(ctx context.Context) Peer {
	peer, _ := ctx.Value(peerContextKey{}).(Peer)
	return peer
}
