package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"meadowhinge/internal/errs"
)

// credentialCheckInterval is the minimum time between two checks whether the credential files have changed.
const credentialCheckInterval = time.Second

// credentials are a process's certificate and the authority that it trusts, read together. They are immutable.
type credentials struct {
	pair      tls.Certificate   // certificate chain and private key
	leaf      *x509.Certificate // parsed first certificate of pair
	roots     *x509.CertPool    // certificate authority that peers' certificates must chain to
	fileStamp string            // fileStampOf of both files, taken before they were read
}

// readCredentials reads both files. It fails if the certificate is not valid at time now. All errors are
// InvalidOptions.
func readCredentials(certificateFile, authorityFile string, now time.Time) (*credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, certificateFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, fmt.Sprintf("load certificate file %q", certificateFile))
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, fmt.Sprintf("read authority file %q", authorityFile))
	}
	loaded := &credentials{pair: pair, roots: x509.NewCertPool()}
	if !loaded.roots.AppendCertsFromPEM(authority) {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("authority file %q contains no PEM certificate", authorityFile))
	}
	if loaded.leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, fmt.Sprintf("parse certificate file %q", certificateFile))
	}
	if now.After(loaded.leaf.NotAfter) || now.Before(loaded.leaf.NotBefore) {
		from, until := loaded.leaf.NotBefore.Format(time.RFC3339), loaded.leaf.NotAfter.Format(time.RFC3339)
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("certificate in %q is valid only from %s to %s", certificateFile, from, until))
	}
	return loaded, nil
}

// fileStampOf returns a text made of the files' modification times and sizes. Two different stamps show that a file
// changed between them. A file that cannot be read adds nothing to the stamp.
func fileStampOf(files ...string) string {
	stamp := ""
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			stamp += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), ";")
		}
	}
	return stamp
}

// currentCredentials reloads the credentials if their files have changed, and returns the ones in use.
func (t *Transport) currentCredentials() *credentials {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.reloadIfChanged()
	return t.active
}

// reloadIfChanged reads the credential files again if they have changed. If the new credentials are unusable or
// belong to another identity, the previous ones stay in use and reloadFault says why. The caller holds t.lock.
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

// checkSameIdentity returns an InvalidOptions error if a certificate was issued for another role or name than this
// process's.
func (t *Transport) checkSameIdentity(certificate *x509.Certificate) error {
	peer := peerFromCertificate(certificate)
	if peer.Role == t.self.Role && peer.Name == t.self.Name {
		return nil
	}
	detail := fmt.Sprintf("certificate is for %s %q, not %s %q", peer.Role, peer.Name, t.self.Role, t.self.Name)
	return errs.New(errs.InvalidOptions, detail)
}

// CertificateStatus is the content of the probe page /certificate: the status of this process's own certificate.
type CertificateStatus struct {
	Name     string    `json:"name"`     // role/name
	NotAfter time.Time `json:"notAfter"` // expiry of the certificate in use; zero for plaintext
	// Fault says why the last reload of the files failed, so that the previous certificate is still in use, or that the
	// transport is plaintext. It is empty if the last reload succeeded.
	Fault string `json:"fault,omitempty"`
}

// Certificate returns the CertificateStatus of the certificate in use.
func (t *Transport) Certificate() any {
	name := t.self.Role + "/" + t.self.Name
	if t.tlsConfig == nil {
		return CertificateStatus{Name: name, Fault: "links=plain: no certificate is used"}
	}
	active := t.currentCredentials()
	t.lock.Lock()
	defer t.lock.Unlock()
	return CertificateStatus{Name: name, NotAfter: active.leaf.NotAfter, Fault: t.reloadFault}
}
