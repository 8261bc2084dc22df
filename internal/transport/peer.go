package transport

import (
	"context"
	"crypto/x509"
	"strings"
)

// Peer is the identity of the process at the other end of a connection: from its certificate, or on a
// plaintext connection from its greeting.
type Peer struct {
	Role      string // proxy, registry or store
	Name      string
	mayCallAs map[string]bool // services and client kinds
	verified  bool            // false for the zero Peer, which may call as nobody
}

// MayCallAs tells whether the peer may make calls on behalf of a service or client kind.
func (p Peer) MayCallAs(service string) bool { return p.verified && p.mayCallAs[service] }

// LocalPeer is this process itself, for calls that it serves without a connection.
func LocalPeer(role, name string, services map[string]bool) Peer {
	return Peer{Role: role, Name: name, mayCallAs: services, verified: true}
}

// peerFromCertificate reads the identity from the URIs of a certificate: mesh:role/name, and mesh:speaks/service
// for each service that the peer may call as.
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

type peerContextKey struct{}

// PeerFromContext gives the peer that made the RPC being served, the zero Peer outside of one.
func PeerFromContext(ctx context.Context) Peer {
	peer, _ := ctx.Value(peerContextKey{}).(Peer)
	return peer
}
