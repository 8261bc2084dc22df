package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"meadowhinge/internal/errs"
)

// Authority is the certificate authority of one fleet. It must be used from one goroutine.
type Authority struct {
	folder string            // folder of all certificate files
	key    *ecdsa.PrivateKey // key of root, with which certificates are signed
	root   *x509.Certificate // the authority's own certificate
	serial int64             // serial number of the last certificate
}

// certificateValidity is short, because the certificates are not needed after a run.
const certificateValidity = 48 * time.Hour

// NewAuthority makes an authority with a new key, creates the folder if necessary, and writes the authority's
// certificate to it. It fails with errs.DiskFailed or errs.Internal.
func NewAuthority(folder string) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "cannot generate the key of the authority")
	}
	a := &Authority{folder: folder, key: key, serial: 1}
	a.root = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "meadowhinge testbed"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateValidity),
	}
	signed, err := x509.CreateCertificate(rand.Reader, a.root, a.root, &key.PublicKey, key)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "cannot sign the certificate of the authority")
	}
	return a, writePEM(a.File(), []*pem.Block{{Type: "CERTIFICATE", Bytes: signed}})
}

// File returns the path of the authority's certificate, a PEM file.
func (a *Authority) File() string { return filepath.Join(a.folder, "authority.pem") }

// Issue issues a certificate for the process role/name, which may make calls in the name of the given services. It
// returns the path of a PEM file with the certificate and its key. It fails with errs.DiskFailed or errs.Internal.
func (a *Authority) Issue(role, name string, services []string) (string, error) {
	return a.IssueUntil(role, name, services, time.Now().Add(certificateValidity))
}

// IssueUntil is Issue for a certificate that expires at the given time.
func (a *Authority) IssueUntil(role, name string, services []string, until time.Time) (string, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "cannot generate the key of "+role+"/"+name)
	}
	a.serial++
	request := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: role + "/" + name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:         []*url.URL{{Scheme: "mesh", Opaque: role + "/" + name}},
	}
	for _, service := range services {
		request.URIs = append(request.URIs, &url.URL{Scheme: "mesh", Opaque: "speaks/" + service})
	}
	signed, err := x509.CreateCertificate(rand.Reader, request, a.root, &key.PublicKey, a.key)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "cannot sign the certificate of "+role+"/"+name)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "cannot encode the key of "+role+"/"+name)
	}
	file := filepath.Join(a.folder, role+"-"+name+".pem")
	return file, writePEM(file, []*pem.Block{{Type: "CERTIFICATE", Bytes: signed}, {Type: "EC PRIVATE KEY", Bytes: private}})
}

// writePEM writes blocks to a file that only the current user may read.
func writePEM(file string, blocks []*pem.Block) error {
	var text []byte
	for _, block := range blocks {
		text = append(text, pem.EncodeToMemory(block)...)
	}
	return errs.Wrap(os.WriteFile(file, text, 0o600), errs.DiskFailed, file)
}
