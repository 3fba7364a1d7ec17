package confstate_test

import (
	"encoding/json"
	"fmt"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("missed changes", func() {
	var server, follower *confstate.State

	snapshot := func(revision int64, weight float64) wire.ConfigReply {
		d := decl.Deployment{Name: "d"}
		for i := range 50 {
			d.Businesses = append(d.Businesses, decl.Business{Name: fmt.Sprint("b", i), Weight: 1})
		}
		d.Businesses[25].Weight = weight
		encoded, err := json.Marshal(confstate.Snapshot{Revision: revision, Deployment: d})
		Expect(err).NotTo(HaveOccurred())
		return wire.ConfigReply{Revision: revision, Snapshot: encoded}
	}
	put := func(h *confstate.State, revision int64, weight float64) {
		Expect(h.ApplyReply(snapshot(revision, weight))).To(Succeed())
	}
	lacks := func() wire.ConfigReply {
		reply, lacking := server.UpdateFor(follower.Revisions())
		Expect(lacking).To(BeTrue())
		return reply
	}
	holder := func() *confstate.State {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return confstate.New(confstate.Options{Deployment: "d", Log: log, Config: config.DefaultFollowerConfig()})
	}

	BeforeEach(func() {
		server, follower = holder(), holder()
		put(server, 1, 10)
		Expect(follower.ApplyReply(lacks())).To(Succeed())
		put(server, 2, 20)
		put(server, 3, 30)
	})

	It("brings a process that lacks few revisions only what they changed", func() {
		reply := lacks()
		Expect(reply.Snapshot).To(BeEmpty())
		Expect(reply.Missed).To(HaveLen(2))
		Expect(follower.ApplyReply(reply)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
		Expect(follower.Current()).To(Equal(server.Current()))
		Expect(holder().Revision()).To(BeZero())
		Expect(server.Serve(wire.ConfigRequest{Deployment: "d"}).Snapshot).NotTo(BeEmpty(), "a fresh one gets the whole")
	})

	// The follower holds something else under revision 1 than the server does, as
	// a release that encodes otherwise would. The changes fit by their length; put
	// together they would be declarations that nobody ever accepted.
	It("puts no mixture in force and gets a snapshot next", func() {
		follower = holder()
		other := snapshot(1, 11)
		Expect(follower.ApplyReply(other)).To(Succeed())
		reply := lacks()
		Expect(follower.ApplyReply(reply)).To(MatchError(ContainSubstring("do not fit")))
		Expect(follower.Revision()).To(Equal(int64(1)))
		whole := lacks()
		Expect(whole.Missed).To(BeEmpty())
		Expect(follower.ApplyReply(whole)).To(Succeed())
		Expect(follower.Current()).To(Equal(server.Current()))
		put(server, 4, 40)
		Expect(lacks().Missed).To(HaveLen(1), "as before")
	})

	// Two entries bring an agent the same change; the later reply finds it done.
	It("takes changes that another reply brought before", func() {
		late := lacks()
		put(follower, 2, 20)
		Expect(follower.ApplyReply(late)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(2)))
		Expect(follower.ApplyReply(lacks())).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
		Expect(follower.ApplyReply(late)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
	})
})
