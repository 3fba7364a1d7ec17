package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/wire"
)

// certificateAuthority signs the certificates of the processes of a deployment.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newCertificateAuthority() *certificateAuthority {
	a := &certificateAuthority{dir: GinkgoT().TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, &a.key.PublicKey))
	return a
}

func (a *certificateAuthority) sign(cert *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key, a.key)
	Expect(err).NotTo(HaveOccurred())
	return der
}

func (a *certificateAuthority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	return path
}

// issueCertificates issues a certificate for each settings file in the folder and adds it
// to the file.
func (a *certificateAuthority) issueCertificates(settings string) {
	files, err := filepath.Glob(filepath.Join(settings, "*.ini"))
	Expect(err).NotTo(HaveOccurred())
	for i, file := range files {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		der := a.sign(&x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 2)), Subject: pkix.Name{CommonName: filepath.Base(file)},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}, &key.PublicKey)
		secret, err := x509.MarshalPKCS8PrivateKey(key)
		Expect(err).NotTo(HaveOccurred())
		cert := a.write(fmt.Sprintf("%d.pem", i), "CERTIFICATE", der)
		keyFile := a.write(fmt.Sprintf("%d.key", i), "PRIVATE KEY", secret)
		appendToFile(file, fmt.Sprintf("\n[tls]\ninner_cert = %s\ninner_key = %s\ninner_ca = %s\n", cert, keyFile, filepath.Join(a.dir, "ca.pem")))
	}
}

// issuePlatformCertificates issues certificates as issueCertificates does and configures
// mutual TLS between the processes and the platform. The platform uses the certificate of
// the first settings file.
func (a *certificateAuthority) issuePlatformCertificates(settings string) {
	a.issueCertificates(settings)
	files, err := filepath.Glob(filepath.Join(settings, "*.ini"))
	Expect(err).NotTo(HaveOccurred())
	for i, file := range files {
		replaceInFile(file, "[platform]\n", fmt.Sprintf("[platform]\nca = %s\ncert = %s\nkey = %s\n",
			filepath.Join(a.dir, "ca.pem"), filepath.Join(a.dir, fmt.Sprintf("%d.pem", i)), filepath.Join(a.dir, fmt.Sprintf("%d.key", i))))
	}
	replaceInFile(filepath.Join(filepath.Dir(settings), "processes"), "siskinstand platform", fmt.Sprintf(
		"siskinstand platform --tls-cert %s --tls-key %s --tls-client-ca %s",
		filepath.Join(a.dir, "0.pem"), filepath.Join(a.dir, "0.key"), filepath.Join(a.dir, "ca.pem")))
}

func replaceInFile(path, before, after string) {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(text)).To(ContainSubstring(before))
	Expect(os.WriteFile(path, []byte(strings.Replace(string(text), before, after, 1)), 0o600)).To(Succeed())
}

func appendToFile(path, text string) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	_, err = file.WriteString(text)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("a deployment with certificates", func() {
	// Every process has a certificate and requires one from its peers. If any use of the
	// inner protocol (heartbeats, requests, claims, weight orders, chunks) were without
	// TLS, its calls would be refused, and lookups, syncs or steps would stop.
	It("serves callers and trainers over mutual TLS and refuses plain text", func() {
		s := startSiteWith(newCertificateAuthority().issueCertificates)
		trainer := s.startTrainer()
		s.checkInvariants(s.runLoad(func() {}))
		awaitSteps(trainer, 4)
		checkSamples(trainer)
		Expect(trainer.Report().Announced).To(BeNumerically(">", 1))
		conn, err := net.Dial("tcp", s.Agents[0].Inner)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(sendPlaintextHeartbeat(conn)).NotTo(Succeed())
	})

	// The platform accepts only TLS with a client certificate. If any use of it (leases,
	// claims, configuration, instance list, weight store) were without TLS, duties, syncs,
	// steps or new weights would stop.
	It("uses only TLS to the platform", func() {
		s := startSiteWith(newCertificateAuthority().issuePlatformCertificates)
		trainer := s.startTrainer()
		s.checkInvariants(s.runLoad(func() {}))
		awaitSteps(trainer, 4)
		checkSamples(trainer)
		Expect(trainer.Report().Announced).To(BeNumerically(">", 1))
	})
})

// sendPlaintextHeartbeat sends a heartbeat in plain text.
func sendPlaintextHeartbeat(conn net.Conn) error {
	Expect(conn.SetDeadline(time.Now().Add(startTimeout))).To(Succeed())
	var reply wire.HeartbeatReply
	return rpc.NewClient(conn).Call(wire.AgentService+".Heartbeat", wire.HeartbeatRequest{From: "intruder"}, &reply)
}
