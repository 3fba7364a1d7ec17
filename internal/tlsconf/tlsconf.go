// Package tlsconf secures connections by the settings: TLS towards callers,
// operators and the platform, and mutual authentication between the system's own
// processes. There
// is no fallback to plain text: with certificates set, a peer without one that
// the deployment's authority signed is not spoken to. Files are read again when
// they change, so keys are rotated without a restart.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"siskinloom.example/siskinloom/internal/settings"
)

// Inner makes the connections between the system's own processes.
type Inner struct {
	pair      *pair      // nil: TLS is off
	authority *authority // nil: TLS is off
}

// NewInner reads the files of the settings; none set turns TLS off.
func NewInner(t settings.TLS) (*Inner, error) {
	if t.InnerCert == "" && t.InnerKey == "" && t.InnerCA == "" {
		return &Inner{}, nil
	}
	p, err := newPair(t.InnerCert, t.InnerKey)
	if err != nil {
		return nil, err
	}
	a, err := newAuthority(t.InnerCA)
	if err != nil {
		return nil, err
	}
	return &Inner{pair: p, authority: a}, nil
}

// Dial connects to another process's inner address.
func (i *Inner) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if i.pair == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: i.client()}).DialContext(ctx, "tcp", address)
}

// Listen listens on the own inner address.
func (i *Inner) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || i.pair == nil {
		return listener, err
	}
	return tls.NewListener(listener, i.server()), nil
}

// client checks the peer itself: instances are replaced at any time and come
// back under other addresses, so a certificate proves membership in the
// deployment, by its authority's signature, and not an address.
func (i *Inner) client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // VerifyConnection checks the chain
		VerifyConnection:     i.verify(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.pair.current() },
	}
}

func (i *Inner) server() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       i.verify(x509.ExtKeyUsageClientAuth),
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.pair.current() },
		SessionTicketsDisabled: true, // a resumed session would outlive a revoked authority
	}
}

func (i *Inner) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		return verifyPeer(i.authority, state, x509.VerifyOptions{KeyUsages: []x509.ExtKeyUsage{usage}})
	}
}

// Protocols that a listener for callers agrees on in the handshake.
const (
	HTTP1 = "http/1.1"
	HTTP2 = "h2"
)

// ListenCaller listens for callers (HTTP1), or trainers and operators (HTTP2).
func ListenCaller(t settings.TLS, address, protocol string) (net.Listener, error) {
	config, err := CallerConfig(t, protocol)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil || config == nil {
		return listener, err
	}
	return tls.NewListener(listener, config), nil
}

// CallerConfig returns the configuration towards callers, trainers and operators;
// nil if TLS is off.
func CallerConfig(t settings.TLS, protocol string) (*tls.Config, error) {
	if t.CallerCert == "" && t.CallerKey == "" {
		return nil, nil
	}
	p, err := newPair(t.CallerCert, t.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current() },
	}, nil
}
