package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinloom.example/siskinloom/internal/settings"
)

// PlatformCredentials returns the credentials of connections to the platform at an
// address. Without an authority in the settings they are plain; with one, a
// platform that it has not signed for the server's name is not spoken to.
func PlatformCredentials(t settings.PlatformTLS, address string) (credentials.TransportCredentials, error) {
	if t.CA == "" {
		return insecure.NewCredentials(), nil
	}
	a, err := newAuthority(t.CA)
	if err != nil {
		return nil, err
	}
	name := t.ServerName
	if name == "" {
		if name, _, err = net.SplitHostPort(address); err != nil {
			return nil, errors.Wrap(err, "tlsconf: platform")
		}
	}
	// The library would take the authority once and for all; it is checked here
	// instead, so that it can be replaced while the process runs.
	config := &tls.Config{
		MinVersion:         tls.VersionTLS12,
		ServerName:         t.ServerName,
		InsecureSkipVerify: true, // VerifyConnection checks chain and name
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(a, state, x509.VerifyOptions{DNSName: name, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
		},
	}
	if t.Cert != "" {
		p, err := newPair(t.Cert, t.Key)
		if err != nil {
			return nil, err
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.current() }
	}
	return credentials.NewTLS(config), nil
}

// verifyPeer checks a peer's certificate by an authority's signature.
func verifyPeer(a *authority, state tls.ConnectionState, o x509.VerifyOptions) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tlsconf: the peer has no certificate")
	}
	roots, err := a.current()
	if err != nil {
		return err
	}
	o.Roots, o.Intermediates = roots, x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(o)
	return errors.Wrap(err, "tlsconf: peer")
}
