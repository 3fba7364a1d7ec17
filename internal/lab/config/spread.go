package config

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	changesADay   = 6800 // the letter's
	secondsADay   = 86400
	mostWatched   = 22 // agents that the busiest entry brings configuration (docs/design/membership.md)
	largeCallers  = 600
	spreadChanges = 400
)

// measureSpread counts what it takes to bring a large declaration's changes to
// processes: each change alone, and after a process has missed some.
func measureSpread() ([]bounds.Figure, error) {
	s := newSpread(largeCallers)
	single, err := s.bytesOf(1)
	if err != nil {
		return nil, err
	}
	regions, err := s.bytesOf(48) // ten minutes apart
	if err != nil {
		return nil, err
	}
	whole := float64(len(s.snapshot().Snapshot))
	perSecond := func(change float64) float64 {
		restarts := float64(restartsADay) / (letterEntries + letterAgents) * whole
		return (changesADay*change*(mostWatched+1) + restarts*(mostWatched+1)) / secondsADay
	}
	return []bounds.Figure{
		{Name: "config.snapshot_kb", Value: whole / 1024},
		{Name: "config.missed_bytes", Value: single},
		{Name: "config.missed_bytes_48", Value: regions},
		{Name: "config.spread_bytes_per_s", Value: perSecond(single)},
		{Name: "config.spread_bytes_per_s.baseline", Value: perSecond(whole)},
	}, nil
}

// spread is a large declaration that changes, held by a process that serves it
// and by one that follows.
type spread struct {
	rnd              *rand.Rand
	deployment       decl.Deployment
	revision         int64
	server, follower *confstate.State
	wire             *countingWriter
	encoder          *gob.Encoder
}

// countingWriter counts what is written.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

func newSpread(callers int) *spread {
	s := &spread{rnd: rand.New(rand.NewPCG(7, 0)), wire: &countingWriter{}}
	s.encoder = gob.NewEncoder(s.wire)
	s.deployment.Name = deployment
	for range callers {
		s.deployment.Callers = append(s.deployment.Callers, s.newCaller())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := func(id string) *confstate.State {
		return confstate.New(confstate.Options{Deployment: deployment, Self: config.Peer{ID: id}, Log: log, Config: config.DefaultFollowerConfig()})
	}
	s.server, s.follower = holder("server"), holder("follower")
	return s
}

func (s *spread) newCaller() decl.Caller {
	digest := fmt.Sprintf("%016x%016x%016x%016x", s.rnd.Uint64(), s.rnd.Uint64(), s.rnd.Uint64(), s.rnd.Uint64())
	return decl.Caller{Name: fmt.Sprint("caller-", s.rnd.Uint32()), Agency: fmt.Sprint("agency-", s.rnd.IntN(40)), Weight: 1, KeySHA256: digest, RateLimit: 50, Burst: 100}
}

// change makes a change as operators do, mostly of a field, and has the server
// put it in force.
func (s *spread) change() error {
	callers := append([]decl.Caller(nil), s.deployment.Callers...)
	at := s.rnd.IntN(len(callers))
	switch s.rnd.IntN(6) {
	case 0:
		callers = append(callers, s.newCaller())
	case 1:
		callers = append(callers[:at], callers[at+1:]...)
	default:
		callers[at].Weight = float64(1 + s.rnd.IntN(1000))
	}
	s.deployment.Callers = callers
	s.revision++
	return s.server.ApplyReply(s.snapshot())
}

func (s *spread) snapshot() wire.ConfigReply {
	encoded, err := json.Marshal(confstate.Snapshot{Revision: s.revision, Deployment: s.deployment})
	if err != nil {
		panic(err) // structs of strings and finite numbers always encode
	}
	return wire.ConfigReply{Revision: s.revision, Snapshot: encoded}
}

// bytesOf returns the mean bytes of bringing so many changes to the follower.
func (s *spread) bytesOf(missed int) (float64, error) {
	if err := errors.WithStack(s.change()); err != nil {
		return 0, err
	}
	if err := s.follower.ApplyReply(s.snapshot()); err != nil {
		return 0, err
	}
	before := s.wire.bytes
	rounds := spreadChanges / missed
	for range rounds {
		for range missed {
			if err := s.change(); err != nil {
				return 0, err
			}
		}
		if err := s.bring(); err != nil {
			return 0, err
		}
	}
	return float64(s.wire.bytes-before) / float64(rounds), nil
}

func (s *spread) bring() error {
	reply, lacks := s.server.UpdateFor(s.follower.Revisions())
	if !lacks {
		return errors.New("spread: the follower lacks nothing")
	}
	if err := s.encoder.Encode(reply); err != nil {
		return errors.WithStack(err)
	}
	if err := s.follower.ApplyReply(reply); err != nil {
		return err
	}
	if s.follower.Revision() != s.revision {
		return errors.New("spread: the change is not in force")
	}
	return nil
}
