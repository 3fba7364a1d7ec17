package routing

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/conn"
	"siskinloom.example/siskinloom/internal/policy/membership"
)

const (
	// stormDown is how long the failure domain is away; long enough for the
	// pauses between attempts to have grown to their longest.
	stormDown  = time.Minute
	stormBegin = 10 * time.Second
	stormTick  = 50 * time.Millisecond
	// stormSlice is the time over which connection attempts are counted.
	stormSlice = 100 * time.Millisecond
	stormEnd   = 2 * time.Minute
)

// storm measures the return of a failure domain, a third of the letter's fleet,
// at one moment: how long until every entry trusts every agent there again, and
// how many connection attempts an agent meets in a tenth of a second at most.
// No call to the platform is made for it: the list is read in its usual turns.
func storm() ([]bounds.Figure, error) {
	s := &stormRun{now: epoch, up: true, opens: map[string]int{}}
	recovered := s.run(conn.DefaultConfig(heartbeat))
	return []bounds.Figure{
		{Name: "recovery.storm_s", Value: recovered.Seconds()},
		{Name: "recovery.connects_peak", Value: float64(s.peak)},
	}, nil
}

// stormPeer is one entry's monitor of one agent.
type stormPeer struct {
	monitor *conn.Monitor
	agent   string
}

type stormRun struct {
	now     time.Time
	back    time.Time // when the domain returns
	up      bool
	peers   []*stormPeer
	opens   map[string]int // attempts by agent in the present slice
	peak    int
	doubted int
}

func (s *stormRun) run(cfg conn.Config) time.Duration {
	s.connectAll(cfg)
	away := epoch.Add(stormBegin)
	s.back = away.Add(stormDown)
	for s.now.Before(epoch.Add(stormEnd)) {
		s.now = s.now.Add(stormTick)
		if s.now.Sub(epoch)%stormSlice == 0 {
			clear(s.opens)
		}
		s.up = s.now.Before(away) || !s.now.Before(s.back)
		s.step()
		if s.now.After(s.back) && s.doubted == 0 {
			return s.now.Sub(s.back)
		}
	}
	return stormEnd
}

// connectAll makes a monitor for every agent of the failure domain that an
// entry keeps.
func (s *stormRun) connectAll(cfg conn.Config) {
	entries, agents := fullFleet()
	domain := map[string]bool{}
	for _, a := range agents {
		domain[a.ID] = a.Domain == "domain-0"
	}
	for i, e := range entries {
		for _, k := range membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), cfg.HeartbeatInterval) {
			if !domain[k.ID] {
				continue
			}
			rng := rand.New(rand.NewPCG(seed, uint64(i*fleetAgents+len(s.peers))))
			s.peers = append(s.peers, &stormPeer{monitor: conn.New(cfg, rng, s.now), agent: k.ID})
		}
	}
	s.doubted = len(s.peers)
}

func (s *stormRun) step() {
	for _, p := range s.peers {
		s.take(p, p.monitor.Tick(s.now, false))
	}
}

func (s *stormRun) take(p *stormPeer, actions []conn.Action) {
	for _, a := range append([]conn.Action(nil), actions...) {
		switch a.Kind {
		case conn.OpenCandidate:
			s.open(p)
		case conn.SendHeartbeat:
			if s.up {
				s.take(p, p.monitor.Answered(s.now, a.Connection))
			}
		case conn.Suspend:
			s.doubted++
		case conn.Resume:
			s.doubted--
		}
	}
}

func (s *stormRun) open(p *stormPeer) {
	s.opens[p.agent]++
	if !s.now.Before(s.back) {
		s.peak = max(s.peak, s.opens[p.agent])
	}
	if s.up {
		s.take(p, p.monitor.Opened(s.now))
		return
	}
	s.take(p, p.monitor.Failed(s.now, conn.Candidate))
}
