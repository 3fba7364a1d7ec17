package tlsconf_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/tlsconf"
)

func TestTLSConf(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsconf")
}

// authority is a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

var serial int64

// readTimeout is how long a client waits for its answer.
var readTimeout time.Duration

func certTemplate(name string) *x509.Certificate {
	serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := certTemplate("authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{cert: cert, key: key}
}

func writePEM(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	stamp := time.Now().Add(time.Duration(serial) * time.Second) // differs for each content
	Expect(os.Chtimes(path, stamp, stamp)).To(Succeed())
}

// issue writes a new certificate with the given common name to the settings' files.
func (a *authority) issue(t settings.TLS, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	leaf := certTemplate(name)
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(t.InnerCert, "CERTIFICATE", der)
	writePEM(t.InnerKey, "EC PRIVATE KEY", keyDER)
	writePEM(t.InnerCA, "CERTIFICATE", a.cert.Raw)
}

func tempFiles() settings.TLS {
	dir := GinkgoT().TempDir()
	t := settings.TLS{InnerCert: filepath.Join(dir, "cert.pem"), InnerKey: filepath.Join(dir, "key.pem"), InnerCA: filepath.Join(dir, "ca.pem")}
	t.CallerCert, t.CallerKey = t.InnerCert, t.InnerKey
	return t
}

func newInner(t settings.TLS) *tlsconf.Inner {
	i, err := tlsconf.NewInner(t)
	Expect(err).NotTo(HaveOccurred())
	return i
}

// serve answers each connection with the common name of the peer's certificate.
func serve(l net.Listener) string {
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if secure, ok := conn.(*tls.Conn); ok && secure.Handshake() == nil && len(secure.ConnectionState().PeerCertificates) > 0 {
				_, _ = io.WriteString(conn, secure.ConnectionState().PeerCertificates[0].Subject.CommonName)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// readAnswer returns what a client reads from the server, or the error.
func readAnswer(client *tlsconf.Inner, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := client.Dial(ctx, address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	text, err := io.ReadAll(conn)
	return string(text), err
}

var _ = Describe("Inner", func() {
	var ours, theirs *authority
	var server, client settings.TLS
	var address string

	BeforeEach(func() {
		readTimeout = 30 * time.Second
		ours, theirs = newAuthority(), newAuthority()
		server, client = tempFiles(), tempFiles()
		ours.issue(server, "server")
		ours.issue(client, "client")
		listener, err := newInner(server).Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = serve(listener)
	})

	It("connects processes with certificates of the same authority", func() {
		Expect(readAnswer(newInner(client), address)).To(Equal("client"))
	})

	It("rejects a peer of another authority on either side, and plain text", func() {
		theirs.issue(client, "stranger")
		stranger := newInner(client)
		_, err := readAnswer(stranger, address)
		Expect(err).To(MatchError(ContainSubstring("peer")), "the client does not trust the server")
		writePEM(client.InnerCA, "CERTIFICATE", ours.cert.Raw)
		text, err := readAnswer(stranger, address)
		Expect(err).To(HaveOccurred(), "the server does not trust the client")
		Expect(text).To(BeEmpty())
		readTimeout = 200 * time.Millisecond // plain text gets no answer at all
		text, err = readAnswer(newInner(settings.TLS{}), address)
		Expect(err).To(HaveOccurred())
		Expect(text).To(BeEmpty())
	})

	It("loads new files without a restart and keeps the old ones while only one file of a pair is replaced", func() {
		running := newInner(client)
		Expect(readAnswer(running, address)).To(Equal("client"))
		key, err := os.ReadFile(client.InnerKey)
		Expect(err).NotTo(HaveOccurred())
		ours.issue(client, "renewed")
		fresh, err := os.ReadFile(client.InnerKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(client.InnerKey, key, 0o600)).To(Succeed())
		Expect(readAnswer(running, address)).To(Equal("client"))
		Expect(os.WriteFile(client.InnerKey, fresh, 0o600)).To(Succeed())
		later := time.Now().Add(time.Hour)
		Expect(os.Chtimes(client.InnerKey, later, later)).To(Succeed())
		Expect(readAnswer(running, address)).To(Equal("renewed"))
	})

	It("fails to start with invalid files", func() {
		Expect(os.WriteFile(server.InnerCA, []byte("nothing"), 0o600)).To(Succeed())
		_, err := tlsconf.NewInner(server)
		Expect(err).To(MatchError(ContainSubstring("no certificate in")))
	})
})

var _ = Describe("ListenCaller", func() {
	It("serves TLS with the callers' certificate", func() {
		a, t := newAuthority(), tempFiles()
		a.issue(t, "entry")
		listener, err := tlsconf.ListenCaller(t, "127.0.0.1:0", tlsconf.HTTP1, nil)
		Expect(err).NotTo(HaveOccurred())
		roots := x509.NewCertPool()
		roots.AddCert(a.cert)
		conn, err := tls.Dial("tcp", serve(listener), &tls.Config{RootCAs: roots})
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
	})
})
