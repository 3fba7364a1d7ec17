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

// PlatformCredentials returns the credentials for connections to the platform at an
// address. Without a certificate authority in the settings, connections are not
// encrypted. With one, a connection fails if the authority has not signed the
// platform's certificate for the server name.
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
	// The library would read the authority only once. The certificate is verified
	// here instead, so that the authority can be replaced while the process runs.
	config := &tls.Config{
		MinVersion:         tls.VersionTLS12,
		ServerName:         t.ServerName,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain and the name
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(a, state, x509.VerifyOptions{DNSName: name, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
		},
	}
	if t.Cert != "" {
		p, err := newKeyPair(t.Cert, t.Key)
		if err != nil {
			return nil, err
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.current() }
	}
	return credentials.NewTLS(config), nil
}

// verifyPeer verifies that the authority has signed the peer's certificate.
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
