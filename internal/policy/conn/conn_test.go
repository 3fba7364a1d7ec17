package conn_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/conn"
)

func TestConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "conn")
}

const tick = 50 * time.Millisecond

// peer drives a monitor of a simulated peer that answers on some connections.
type peer struct {
	monitor  *conn.Monitor
	now      time.Time
	answers  map[conn.Connection]bool // connections on which the peer answers
	connects bool                     // new connections to the peer can be opened
	recorded []conn.Action
	at       map[conn.ActionKind]time.Duration // time from begun to the last action of each kind
	begun    time.Time
}

func newPeer() *peer {
	begun := time.Unix(1_000_000, 0)
	return &peer{
		monitor:  conn.New(conn.DefaultConfig(time.Second), rand.New(rand.NewPCG(1, 1)), begun),
		now:      begun,
		begun:    begun,
		answers:  map[conn.Connection]bool{conn.Active: true, conn.Candidate: true},
		connects: true,
		at:       map[conn.ActionKind]time.Duration{},
	}
}

func (p *peer) carryOut(actions []conn.Action) {
	for _, a := range append([]conn.Action(nil), actions...) {
		p.recorded = append(p.recorded, a)
		p.at[a.Kind] = p.now.Sub(p.begun)
		switch {
		case a.Kind == conn.OpenCandidate && p.connects:
			p.carryOut(p.monitor.Opened(p.now))
		case a.Kind == conn.OpenCandidate:
			p.carryOut(p.monitor.Failed(p.now, conn.Candidate))
		case a.Kind == conn.SendHeartbeat && p.answers[a.Connection]:
			p.carryOut(p.monitor.Answered(p.now, a.Connection))
		case a.Kind == conn.PromoteCandidate:
			p.answers[conn.Active] = p.answers[conn.Candidate]
		}
	}
}

func (p *peer) run(d time.Duration, busy bool) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.carryOut(p.monitor.Tick(p.now, busy))
	}
}

// restart clears the recorded actions and restarts the clock of at.
func (p *peer) restart() {
	p.recorded = nil
	p.begun = p.now
	p.at = map[conn.ActionKind]time.Duration{}
}

func (p *peer) kinds() []conn.ActionKind {
	var kinds []conn.ActionKind
	for _, a := range p.recorded {
		kinds = append(kinds, a.Kind)
	}
	return kinds
}

var _ = Describe("Monitor", func() {
	var p *peer

	BeforeEach(func() {
		p = newPeer()
		p.run(200*time.Millisecond, false)
		Expect(p.kinds()).To(Equal([]conn.ActionKind{conn.OpenCandidate, conn.SendHeartbeat, conn.PromoteCandidate, conn.Resume}))
		p.restart()
	})

	It("replaces a dead connection with a waiting request within a second", func() {
		// The active connection no longer carries anything, a new one works. The
		// verdict must be ConnectionSilent, the new connection must be active when
		// the requests in flight fail, and the peer must get no new requests before
		// that.
		p.answers[conn.Active] = false
		p.run(2*time.Second, true)
		Expect(p.kinds()[:7]).To(HaveExactElements(conn.SendHeartbeat, conn.Suspend, conn.OpenCandidate, conn.SendHeartbeat, conn.CloseActive, conn.PromoteCandidate, conn.Resume))
		Expect(p.kinds()[7:]).To(HaveEach(conn.SendHeartbeat))
		Expect(p.recorded[4].Verdict).To(Equal(conn.ConnectionSilent))
		Expect(p.at[conn.CloseActive]).To(BeNumerically("<=", time.Second))
	})

	It("detects that a peer that answers on neither connection is down", func() {
		p.answers[conn.Active], p.answers[conn.Candidate], p.connects = false, false, false
		p.run(4*time.Second, true)
		Expect(p.kinds()).To(ContainElements(conn.Suspend, conn.CloseActive, conn.Unreachable))
		Expect(p.recorded).To(ContainElement(conn.Action{Kind: conn.CloseActive, Verdict: conn.PeerDown}))
		Expect(p.kinds()).NotTo(ContainElement(conn.PromoteCandidate))
		p.restart()
		p.connects, p.answers[conn.Candidate] = true, true
		p.run(6*time.Second, false)
		Expect(p.kinds()).To(ContainElements(conn.PromoteCandidate, conn.Resume))
	})

	It("keeps a connection whose answer is only late", func() {
		p.answers[conn.Active], p.answers[conn.Candidate] = false, false
		p.run(700*time.Millisecond, true)
		Expect(p.monitor.Suspended()).To(BeTrue())
		p.carryOut(p.monitor.Answered(p.now, conn.Active))
		Expect(p.monitor.Suspended()).To(BeFalse())
		Expect(p.kinds()).To(ContainElement(conn.CloseCandidate))
		Expect(p.kinds()).NotTo(ContainElement(conn.CloseActive))
	})

	It("does not mistake its own pause for silent peers", func() {
		// This process is stopped for a minute with a heartbeat in flight. After it
		// resumes, a tick comes before it has read the answers in its buffers.
		p.answers[conn.Active] = false
		p.run(300*time.Millisecond, true)
		p.now = p.now.Add(time.Minute)
		p.carryOut(p.monitor.Tick(p.now, true))
		Expect(p.kinds()).NotTo(ContainElement(conn.CloseActive))
	})

	It("reconnects at once when a connection breaks, then with exponential backoff", func() {
		p.connects = false
		p.carryOut(p.monitor.Failed(p.now, conn.Active))
		Expect(p.kinds()).To(Equal([]conn.ActionKind{conn.CloseActive, conn.Suspend, conn.OpenCandidate}))
		p.run(time.Minute, false)
		opens := 0
		for _, kind := range p.kinds() {
			if kind == conn.OpenCandidate {
				opens++
			}
		}
		Expect(opens).To(BeNumerically("~", 20, 6))
	})
})
