// Package tlsconf creates TLS configurations from the settings: TLS for callers,
// operators and the platform, and mutual TLS among entries and agents. There is no
// fallback to plain text: if certificates are configured, a connection to a peer
// without a certificate signed by the deployment's authority fails. Files are read
// again when they change, so keys can be rotated without a restart.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"siskinloom.example/siskinloom/internal/netdial"
	"siskinloom.example/siskinloom/internal/settings"
)

// Inner makes the connections among entries and agents.
type Inner struct {
	keyPair   *keyPair   // nil: TLS is off
	authority *authority // nil: TLS is off
}

// NewInner reads the files of the settings. TLS is off if none are set.
func NewInner(t settings.TLS) (*Inner, error) {
	if t.InnerCert == "" && t.InnerKey == "" && t.InnerCA == "" {
		return &Inner{}, nil
	}
	p, err := newKeyPair(t.InnerCert, t.InnerKey)
	if err != nil {
		return nil, err
	}
	a, err := newAuthority(t.InnerCA)
	if err != nil {
		return nil, err
	}
	return &Inner{keyPair: p, authority: a}, nil
}

// Dial connects to the inner address of another process.
func (i *Inner) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if i.keyPair == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: i.client()}).DialContext(ctx, "tcp", address)
}

// Listen listens on this process's inner address.
func (i *Inner) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || i.keyPair == nil {
		return listener, err
	}
	return tls.NewListener(listener, i.server()), nil
}

// client returns the configuration of outgoing connections. It verifies the
// authority's signature but no address: instances are replaced at any time and
// return with other addresses, so a certificate proves membership in the deployment.
func (i *Inner) client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain
		VerifyConnection:     i.verify(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.keyPair.current() },
	}
}

func (i *Inner) server() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       i.verify(x509.ExtKeyUsageClientAuth),
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.keyPair.current() },
		SessionTicketsDisabled: true, // a resumed session would remain valid after its authority was revoked
	}
}

func (i *Inner) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		return verifyPeer(i.authority, state, x509.VerifyOptions{KeyUsages: []x509.ExtKeyUsage{usage}})
	}
}

// Protocols that ListenCaller offers in the TLS handshake (ALPN).
const (
	HTTP1 = "http/1.1"
	HTTP2 = "h2"
)

// ListenCaller listens for callers (HTTP1) or for trainers and operators (HTTP2). bound wraps the
// listener below TLS, so that handshakes are bounded too; nil: they are not.
func ListenCaller(t settings.TLS, address, protocol string, bound func(net.Listener) net.Listener) (net.Listener, error) {
	config, err := CallerConfig(t, protocol)
	if err != nil {
		return nil, err
	}
	listener, err := netdial.ListenCallers(address)
	if err != nil {
		return nil, err
	}
	if bound != nil {
		listener = bound(listener)
	}
	if config == nil {
		return listener, nil
	}
	return tls.NewListener(listener, config), nil
}

// CallerConfig returns the configuration of connections from callers, trainers and
// operators, or nil if TLS is off.
func CallerConfig(t settings.TLS, protocol string) (*tls.Config, error) {
	if t.CallerCert == "" && t.CallerKey == "" {
		return nil, nil
	}
	p, err := newKeyPair(t.CallerCert, t.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current() },
	}, nil
}
