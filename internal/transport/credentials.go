package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"meadowhinge/internal/errs"
)

// credentialCheckInterval is the shortest time between two checks whether the credential files have changed.
const credentialCheckInterval = time.Second

// credentials are a process's certificate and the authority that it trusts, read together. They never change
// once made.
type credentials struct {
	pair      tls.Certificate
	leaf      *x509.Certificate
	roots     *x509.CertPool
	fileStamp string // fileStampOf the files, from before they were read
}

// readCredentials reads credentials and refuses those that are not valid at a time. All errors are InvalidOptions.
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
		from, until := loaded.leaf.NotBefore.Format(time.RFC3339), loaded.leaf.NotAfter.Format(time.RFC3339)
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is good from %s to %s only", from, until))
	}
	return loaded, nil
}

// fileStampOf tells whether files have changed, by their modification times and sizes.
func fileStampOf(files ...string) string {
	stamp := ""
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), ";")
		}
	}
	return stamp
}

// currentCredentials gives the credentials in use, after it reloaded them if their files have changed.
func (t *Transport) currentCredentials() *credentials {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.reloadIfChanged()
	return t.active
}

// reloadIfChanged reads the credential files again if they have changed. Credentials that cannot be used are
// refused: the previous ones stay in use, and reloadFault says why. The caller holds t.lock.
func (t *Transport) reloadIfChanged() {
	now := t.now()
	if now.Sub(t.checkedAt) < credentialCheckInterval {
		return
	}
	t.checkedAt = now
	stamp := fileStampOf(t.certificateFile, t.authorityFile)
	if stamp == t.active.fileStamp {
		return
	}
	fresh, err := readCredentials(t.certificateFile, t.authorityFile, now)
	if err == nil {
		err = t.checkSameIdentity(fresh.leaf)
	}
	if err != nil {
		t.reloadFault = err.Error()
		return
	}
	t.reloadFault = ""
	fresh.fileStamp = stamp
	t.active = fresh
}

// checkSameIdentity refuses a certificate that is another process's.
func (t *Transport) checkSameIdentity(certificate *x509.Certificate) error {
	peer := peerFromCertificate(certificate)
	if peer.Role == t.self.Role && peer.Name == t.self.Name {
		return nil
	}
	detail := fmt.Sprintf("certificate is for %s %q, not %s %q", peer.Role, peer.Name, t.self.Role, t.self.Name)
	return errs.New(errs.InvalidOptions, detail)
}

// CertificateStatus is what the probe page /certificate shows of a process's own certificate.
type CertificateStatus struct {
	Name     string    `json:"name"` // role/name
	NotAfter time.Time `json:"notAfter"`
	Fault    string    `json:"fault,omitempty"` // why the files' newer certificate is not in use
}

// Certificate gives the CertificateStatus of the certificate in use.
func (t *Transport) Certificate() any {
	name := t.self.Role + "/" + t.self.Name
	if t.tlsConfig == nil {
		return CertificateStatus{Name: name, Fault: "links are plain: there is none"}
	}
	active := t.currentCredentials()
	t.lock.Lock()
	defer t.lock.Unlock()
	return CertificateStatus{Name: name, NotAfter: active.leaf.NotAfter, Fault: t.reloadFault}
}
