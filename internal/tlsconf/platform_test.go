package tlsconf_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/tlsconf"
)

var _ = Describe("Platform", func() {
	var ours, theirs *authority
	var server, client settings.TLS
	var address string

	BeforeEach(func() {
		ours, theirs = newAuthority(), newAuthority()
		server, client = tempFiles(), tempFiles()
		ours.issue(server, "platform")
		ours.issue(client, "entry")
		clients := x509.NewCertPool()
		clients.AddCert(ours.cert)
		platform := standin.NewPlatform(standin.PlatformOptions{TLS: &tls.Config{
			ClientAuth: tls.RequireAndVerifyClientCert,
			ClientCAs:  clients,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
				pair, err := tls.LoadX509KeyPair(server.InnerCert, server.InnerKey)
				return &pair, err
			},
		}})
		var err error
		address, err = platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
	})

	// callPlatform makes one call to the platform with the given files.
	callPlatform := func(t settings.PlatformTLS) error {
		creds, err := tlsconf.PlatformCredentials(t, address)
		Expect(err).NotTo(HaveOccurred())
		store, err := kv.NewClient(kv.Options{Address: address, Writer: "e", CallsPerSec: 10, CallTimeout: 10 * time.Second,
			Dial: []grpc.DialOption{grpc.WithTransportCredentials(creds)}})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = store.Close() }()
		_, err = store.Get(context.Background(), kv.UseConfig, "k")
		return err
	}
	ourFiles := func() settings.PlatformTLS {
		return settings.PlatformTLS{CA: client.InnerCA, Cert: client.InnerCert, Key: client.InnerKey}
	}

	It("connects to a platform with a certificate of the same authority", func() {
		Expect(callPlatform(ourFiles())).To(Succeed())
	})

	// Another server listens at the platform's address, with a certificate for another
	// name or of another authority, or without TLS. A process that fell back to plain
	// text or did not verify the certificate would send it leases and claims.
	It("rejects other servers and plain text", func() {
		t := ourFiles()
		t.ServerName = "other"
		Expect(callPlatform(t)).To(MatchError(ContainSubstring("wanted to match other")))
		Expect(callPlatform(settings.PlatformTLS{})).NotTo(Succeed())
		t = ourFiles()
		t.Cert, t.Key = "", ""
		Expect(callPlatform(t)).NotTo(Succeed(), "the platform asks for a certificate")
		theirs.issue(server, "platform")
		Expect(callPlatform(ourFiles())).To(MatchError(ContainSubstring("peer")))
	})

	It("accepts a new authority and a new certificate without a restart", func() {
		creds, err := tlsconf.PlatformCredentials(ourFiles(), address)
		Expect(err).NotTo(HaveOccurred())
		handshake := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, _, err = creds.ClientHandshake(ctx, address, conn)
			return err
		}
		Expect(handshake()).To(Succeed())
		theirs.issue(server, "platform")
		Expect(handshake()).To(MatchError(ContainSubstring("peer")))
		writePEM(client.InnerCA, "CERTIFICATE", theirs.cert.Raw)
		Expect(handshake()).To(Succeed())
	})

	It("fails to start with invalid files", func() {
		Expect(os.WriteFile(client.InnerCA, []byte("nothing"), 0o600)).To(Succeed())
		_, err := tlsconf.PlatformCredentials(ourFiles(), address)
		Expect(err).To(MatchError(ContainSubstring("no certificate in")))
	})
})
