package fanout

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/fanout"
)

// ask has a follower request updates from a process.
func (m *Model) ask(p, source *process, wait time.Duration, run int) {
	sourceRun, deadline := source.run, m.t.Now().Add(wait)
	ended := false
	end := func(o fanout.Outcome, after time.Duration) {
		if ended {
			return
		}
		ended = true
		m.t.After(after, func() {
			if p.run == run {
				p.follower.Done(o)
				m.step(p, run)
			}
		})
	}
	var answer func()
	answer = func() {
		now := m.t.Now()
		switch {
		case ended:
		case !source.up || source.run != sourceRun:
			end(fanout.Unreachable, linkDelay) // refused or reset
		case source.paused || source.isolated || p.isolated:
			end(fanout.Unreachable, max(0, deadline.Sub(now))+callMargin)
		case !source.listed && source.role != fanout.Leaf && now.Before(deadline):
			m.await(source, deadline.Sub(now), answer)
		case !source.listed || source.ttl(now) <= 0:
			end(fanout.Stale, linkDelay)
		case source.version > p.version || !now.Before(deadline):
			ended = true
			m.reply(p, source, run)
		default:
			m.await(source, min(deadline.Sub(now), source.ttl(now)), answer)
		}
	}
	m.t.After(linkDelay, answer)
}

// ttl returns how much longer the data of a root or relay may be served.
func (p *process) ttl(now time.Time) time.Duration {
	ttl := rootTTL - now.Sub(p.syncedAt)
	if p.role == fanout.Relay {
		ttl += fanout.RootPollTimeout + fanout.RootPollMargin
	}
	return ttl
}

// await calls fn when a process has new data or ends, or after a time.
func (m *Model) await(source *process, after time.Duration, fn func()) {
	called := false
	once := func() {
		if !called {
			called = true
			fn()
		}
	}
	source.waiters = append(source.waiters, once)
	m.t.After(after, once)
}

// reply sends updates from a source to a follower over the source's link.
func (m *Model) reply(p, source *process, run int) {
	now := m.t.Now()
	bytes := float64(smallBytes)
	if !p.listed {
		bytes = float64(m.listBytes())
		if !p.worker {
			bytes -= endpoints * endpointBytes * (plainShare - 1) / plainShare
		}
	}
	if source.linkFree.Before(now) {
		source.linkFree = now
	}
	source.linkFree = source.linkFree.Add(time.Duration(bytes / workerRate * float64(time.Second)))
	version, syncedAt := source.version, source.syncedAt
	m.t.After(source.linkFree.Sub(now)+linkDelay, func() {
		if p.run != run {
			return
		}
		m.synced(p, version, syncedAt)
		p.follower.Done(fanout.Served)
		m.step(p, run)
	})
}
