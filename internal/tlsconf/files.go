package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloader holds a value read from files and reads it again when one of them has
// changed. During a rotation, when one file of a pair has been replaced but not yet
// the other, the old value stays in use.
type reloader[T any] struct {
	files []string
	read  func() (T, error)

	mu       sync.Mutex
	versions []fileVersion
	value    T
}

// fileVersion identifies a version of a file's content.
type fileVersion struct {
	modified time.Time
	size     int64
}

func (r *reloader[T]) load() error {
	versions, err := r.stat()
	if err != nil {
		return err
	}
	value, err := r.read()
	if err != nil {
		return err
	}
	r.versions, r.value = versions, value
	return nil
}

func (r *reloader[T]) stat() ([]fileVersion, error) {
	versions := make([]fileVersion, len(r.files))
	for i, name := range r.files {
		info, err := os.Stat(name)
		if err != nil {
			return nil, errors.Wrap(err, "tlsconf")
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

// current returns the value after reloading it if a file has changed.
func (r *reloader[T]) current() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed() {
		_ = r.load() // on failure the old value stays; the next connection tries again
	}
	return r.value, nil
}

func (r *reloader[T]) changed() bool {
	versions, err := r.stat()
	if err != nil {
		return false
	}
	for i := range versions {
		if versions[i] != r.versions[i] {
			return true
		}
	}
	return false
}

// keyPair reloads a certificate and its private key.
type keyPair = reloader[*tls.Certificate]

func newKeyPair(certFile, keyFile string) (*keyPair, error) {
	p := &keyPair{files: []string{certFile, keyFile}, read: func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &cert, errors.Wrapf(err, "tlsconf: %s", certFile)
	}}
	return p, p.load()
}

// authority reloads the certificates of a certificate authority.
type authority = reloader[*x509.CertPool]

func newAuthority(caFile string) (*authority, error) {
	a := &authority{files: []string{caFile}, read: func() (*x509.CertPool, error) {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "tlsconf")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("tlsconf: no certificate in %s", caFile)
		}
		return pool, nil
	}}
	return a, a.load()
}
