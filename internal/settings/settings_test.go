package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const agentINI = `[process]
role = agent
id = agent-1
deployment = ledgerwise
failure_domain = vvn-hall-a
[listen]
inner = 127.0.0.1:7001
metrics = 127.0.0.1:7002
[endpoint]
service = tone-model
address = 127.0.0.1:9001
[platform]
address = 127.0.0.1:9900
`

var _ = Describe("Parse", func() {
	It("reads an agent's settings and applies the defaults", func() {
		s, err := settings.Parse("agent.ini", []byte(agentINI))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Role).To(Equal(settings.RoleAgent))
		Expect(s.EndpointAddress).To(Equal("127.0.0.1:9001"))
		Expect(s.HeartbeatInterval).To(Equal(time.Second))
		Expect(s.StopTimeout).To(Equal(30 * time.Second))
	})

	It("reports missing keys, keys of the other role and an incomplete TLS section", func() {
		text := "[process]\nrole = entry\nid = e\ndeployment = d\nfailure_domain = z\n[listen]\ninner = entry:1\nmetrics = 127.0.0.1:1\nhttp = 127.0.0.1:2\n" +
			"[endpoint]\nservice = s\n[platform]\naddress = 127.0.0.1:3\n[tls]\ninner_cert = a.pem\ncolour = red\n"
		_, err := settings.Parse("entry.ini", []byte(text))
		Expect(err).To(MatchError(`entry.ini:6: [listen] grpc: required
entry.ini:7: [listen] inner: "entry:1" is not ip:port with the IP as a number
entry.ini:11: [endpoint] service: only an agent has it
entry.ini:15: [tls] inner_cert: inner_cert, inner_key and inner_ca go together
entry.ini:16: [tls] colour: unknown key`))
	})

	It("reads the limits of an entry, with a default, and rejects those of an agent and those out of range", func() {
		entry := "[process]\nrole = entry\nid = e\ndeployment = d\nfailure_domain = z\n[listen]\ninner = 127.0.0.1:1\nmetrics = 127.0.0.1:2\nhttp = 127.0.0.1:3\ngrpc = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n"
		s, err := settings.Parse("entry.ini", []byte(entry))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.MemoryBytes).To(Equal(int64(256 << 20)))
		Expect(s.Descriptors).To(BeZero())
		s, err = settings.Parse("entry.ini", []byte(entry+"[limits]\nmemory_mb = 144\ndescriptors = 3075\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.MemoryBytes).To(Equal(int64(144 << 20)))
		Expect(s.Descriptors).To(Equal(3075))
		_, err = settings.Parse("entry.ini", []byte(entry+"[limits]\nmemory_mb = 31\ndescriptors = 255\n"))
		Expect(err).To(MatchError(ContainSubstring("entry.ini:14: [limits] memory_mb")))
		Expect(err).To(MatchError(ContainSubstring("entry.ini:15: [limits] descriptors: 255 is less than 256")))
		_, err = settings.Parse("agent.ini", []byte(agentINI+"[limits]\nmemory_mb = 144\n"))
		Expect(err).To(MatchError("agent.ini:15: [limits] memory_mb: only an entry has it"))
	})

	It("reads the platform's TLS settings and rejects settings that would leave TLS off", func() {
		s, err := settings.Parse("agent.ini", []byte(agentINI+"ca = ca.pem\ncert = c.pem\nkey = k.pem\nserver_name = platform\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.PlatformTLS).To(Equal(settings.PlatformTLS{CA: "ca.pem", Cert: "c.pem", Key: "k.pem", ServerName: "platform"}))
		_, err = settings.Parse("agent.ini", []byte(agentINI+"cert = c.pem\nserver_name = platform\n"))
		Expect(err).To(MatchError(`agent.ini:14: [platform] cert: cert and key go together
agent.ini:14: [platform] cert: needs ca; without it connections to the platform are not encrypted
agent.ini:15: [platform] server_name: needs ca; without it connections to the platform are not encrypted`))
	})
})
