package routing

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/conn"
	"siskinloom.example/siskinloom/internal/policy/membership"
)

const (
	// outageDuration is the duration of the outage of the failure domain, long enough for
	// the backoff between attempts to reach its maximum.
	outageDuration    = time.Minute
	outageStart       = 10 * time.Second
	stormTickInterval = 50 * time.Millisecond
	// attemptWindow is the interval over which connection attempts are counted.
	attemptWindow = 100 * time.Millisecond
	stormTimeout  = 2 * time.Minute
)

// storm measures the sudden return of a failure domain of the reference fleet after an
// outage: the time until every entry has resumed every agent there, and the highest
// number of connection attempts at an agent in a tenth of a second. The return causes
// no call to the platform: the list is read at its usual interval.
func storm() ([]bounds.Figure, error) {
	s := &stormRun{now: epoch, up: true, attempts: map[string]int{}}
	recovered := s.run(conn.DefaultConfig(heartbeatInterval))
	return []bounds.Figure{
		{Name: "recovery.storm_s", Value: recovered.Seconds()},
		{Name: "recovery.connects_peak", Value: float64(s.peakAttempts)},
	}, nil
}

// stormPeer is one entry's monitor of one agent.
type stormPeer struct {
	monitor *conn.Monitor
	agent   string
}

type stormRun struct {
	now          time.Time
	returnsAt    time.Time // time at which the domain returns
	up           bool
	peers        []*stormPeer
	attempts     map[string]int // attempts in the current interval, by agent
	peakAttempts int
	suspended    int
}

func (s *stormRun) run(cfg conn.Config) time.Duration {
	s.connectAll(cfg)
	downAt := epoch.Add(outageStart)
	s.returnsAt = downAt.Add(outageDuration)
	for s.now.Before(epoch.Add(stormTimeout)) {
		s.now = s.now.Add(stormTickInterval)
		if s.now.Sub(epoch)%attemptWindow == 0 {
			clear(s.attempts)
		}
		s.up = s.now.Before(downAt) || !s.now.Before(s.returnsAt)
		s.step()
		if s.now.After(s.returnsAt) && s.suspended == 0 {
			return s.now.Sub(s.returnsAt)
		}
	}
	return stormTimeout
}

// connectAll adds a monitor for every connection of an entry to an agent of the failure
// domain.
func (s *stormRun) connectAll(cfg conn.Config) {
	entries, agents := referenceFleet()
	domain := map[string]bool{}
	for _, a := range agents {
		domain[a.ID] = a.Domain == "domain-0"
	}
	for i, e := range entries {
		for _, k := range membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), cfg.HeartbeatInterval) {
			if !domain[k.ID] {
				continue
			}
			rng := rand.New(rand.NewPCG(seed, uint64(i*referenceAgents+len(s.peers))))
			s.peers = append(s.peers, &stormPeer{monitor: conn.New(cfg, rng, s.now), agent: k.ID})
		}
	}
	s.suspended = len(s.peers)
}

func (s *stormRun) step() {
	for _, p := range s.peers {
		s.apply(p, p.monitor.Tick(s.now, false))
	}
}

func (s *stormRun) apply(p *stormPeer, actions []conn.Action) {
	for _, a := range append([]conn.Action(nil), actions...) {
		switch a.Kind {
		case conn.OpenCandidate:
			s.connect(p)
		case conn.SendHeartbeat:
			if s.up {
				s.apply(p, p.monitor.Answered(s.now, a.Connection))
			}
		case conn.Suspend:
			s.suspended++
		case conn.Resume:
			s.suspended--
		}
	}
}

func (s *stormRun) connect(p *stormPeer) {
	s.attempts[p.agent]++
	if !s.now.Before(s.returnsAt) {
		s.peakAttempts = max(s.peakAttempts, s.attempts[p.agent])
	}
	if s.up {
		s.apply(p, p.monitor.Opened(s.now))
		return
	}
	s.apply(p, p.monitor.Failed(s.now, conn.Candidate))
}
