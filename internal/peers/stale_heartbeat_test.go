package peers_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/rpc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/peers"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("a received heartbeat request", func() {
	// An entry is paused for a minute; meanwhile a change is accepted. When the
	// entry resumes, it first reads a heartbeat that has been in its buffers
	// since before the change. If that proved that its configuration is
	// current, the entry would serve callers under the old configuration for
	// several more seconds.
	It("doesn't prove that the configuration is current, as the time of sending is unknown", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		conf := confstate.New(confstate.Options{
			Deployment: "d", Self: config.Peer{ID: "e1", Domain: "z1"}, Entry: true, Log: log, Config: config.DefaultFollowerConfig(),
		})
		snapshot, err := json.Marshal(confstate.Snapshot{Revision: 1, Deployment: decl.Deployment{Name: "d"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(conf.ApplyReply(wire.ConfigReply{Revision: 1, Snapshot: snapshot})).To(Succeed())
		p := peers.New(peers.Options{ID: "e1", Domain: "z1", Deployment: "d", HeartbeatInterval: interval})
		p.Attach(conf, dutyrun.New(dutyrun.Options{Deployment: "d", Log: log, Config: duties.DefaultConfig()}))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = p.Serve(ctx, listener, nil) }()
		client, err := rpc.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		heartbeat := wire.HeartbeatRequest{From: "e2", Domain: "z2", Revisions: []wire.Revision{{Deployment: "d", Revision: 1}}}
		var reply wire.HeartbeatReply
		Expect(client.Call(wire.EntryService+".Heartbeat", heartbeat, &reply)).To(Succeed())
		Expect(reply.Revisions[0].ConfirmedAgo).To(Equal(config.NoConfirmation))
	})
})
