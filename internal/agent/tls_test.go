package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/settings"
)

var _ = Describe("an agent whose certificates cannot be read", func() {
	// The settings name certificate files that don't exist. An agent that
	// served anyway would use plain text without anyone noticing.
	It("does not start", func() {
		a := New(settings.Settings{
			ID: "a", Deployment: "d", Service: "s", InnerAddress: "127.0.0.1:0", EndpointAddress: "127.0.0.1:1", PlatformAddress: "127.0.0.1:1",
			TLS: settings.TLS{InnerCert: "absent.pem", InnerKey: "absent.key", InnerCA: "absent-ca.pem"},
		}, logrus.New(), metrics.NewRegistry())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(a.Run(ctx)).To(MatchError(ContainSubstring("absent.pem")))
	})
})
