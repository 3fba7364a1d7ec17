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
	apply := func(st *confstate.State, revision int64, weight float64) {
		Expect(st.ApplyReply(snapshot(revision, weight))).To(Succeed())
	}
	update := func() wire.ConfigReply {
		reply, lacking := server.UpdateFor(follower.Revisions())
		Expect(lacking).To(BeTrue())
		return reply
	}
	newState := func() *confstate.State {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return confstate.New(confstate.Options{Deployment: "d", Log: log, Config: config.DefaultFollowerConfig()})
	}

	BeforeEach(func() {
		server, follower = newState(), newState()
		apply(server, 1, 10)
		Expect(follower.ApplyReply(update())).To(Succeed())
		apply(server, 2, 20)
		apply(server, 3, 30)
	})

	It("sends only the changes to a process that lacks few revisions", func() {
		reply := update()
		Expect(reply.Snapshot).To(BeEmpty())
		Expect(reply.Missed).To(HaveLen(2))
		Expect(follower.ApplyReply(reply)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
		Expect(follower.Current()).To(Equal(server.Current()))
		Expect(newState().Revision()).To(BeZero())
		Expect(server.Serve(wire.ConfigRequest{Deployment: "d"}).Snapshot).NotTo(BeEmpty(), "a new process gets a snapshot")
	})

	// The follower has a different configuration in force under revision 1 than
	// the server, as a release that encodes differently would. The lengths of
	// the deltas match, but the result would be declarations that nobody ever
	// accepted.
	It("puts no mixture in force and gets a snapshot next", func() {
		follower = newState()
		other := snapshot(1, 11)
		Expect(follower.ApplyReply(other)).To(Succeed())
		reply := update()
		Expect(follower.ApplyReply(reply)).To(MatchError(ContainSubstring("do not apply to the current configuration")))
		Expect(follower.Revision()).To(Equal(int64(1)))
		full := update()
		Expect(full.Missed).To(BeEmpty())
		Expect(follower.ApplyReply(full)).To(Succeed())
		Expect(follower.Current()).To(Equal(server.Current()))
		apply(server, 4, 40)
		Expect(update().Missed).To(HaveLen(1), "as before")
	})

	// Two entries send an agent the same change. The later reply finds it
	// already applied.
	It("ignores changes that another reply has already applied", func() {
		late := update()
		apply(follower, 2, 20)
		Expect(follower.ApplyReply(late)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(2)))
		Expect(follower.ApplyReply(update())).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
		Expect(follower.ApplyReply(late)).To(Succeed())
		Expect(follower.Revision()).To(Equal(int64(3)))
	})
})
