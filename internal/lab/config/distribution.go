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
	referenceChangesPerDay = 6800
	secondsPerDay          = 86400
	maxAgentsPerEntry      = 22 // agents to which the busiest entry sends configuration (docs/design/membership.md)
	largeCallerCount       = 600
	distributedChanges     = 400
)

// measureDistribution measures the bytes that are sent to bring a process up to date with a
// large declaration after one change and after several missed changes. The baseline sends
// snapshots.
func measureDistribution() ([]bounds.Figure, error) {
	d := newConfigDistribution(largeCallerCount)
	bytesPerChange, err := d.meanUpdateBytes(1)
	if err != nil {
		return nil, err
	}
	bytesPer48Changes, err := d.meanUpdateBytes(48) // the changes of ten minutes
	if err != nil {
		return nil, err
	}
	snapshotBytes := float64(len(d.snapshotReply().Snapshot))
	bytesPerSecond := func(changeBytes float64) float64 {
		restartBytes := float64(referenceRestartsPerDay) / (referenceEntries + referenceAgents) * snapshotBytes
		return (referenceChangesPerDay*changeBytes*(maxAgentsPerEntry+1) + restartBytes*(maxAgentsPerEntry+1)) / secondsPerDay
	}
	return []bounds.Figure{
		{Name: "config.snapshot_kb", Value: snapshotBytes / 1024},
		{Name: "config.missed_bytes", Value: bytesPerChange},
		{Name: "config.missed_bytes_48", Value: bytesPer48Changes},
		{Name: "config.spread_bytes_per_s", Value: bytesPerSecond(bytesPerChange)},
		{Name: "config.spread_bytes_per_s.baseline", Value: bytesPerSecond(snapshotBytes)},
	}, nil
}

// configDistribution is a large declaration that changes, with a process that serves it
// and one that follows it.
type configDistribution struct {
	rng              *rand.Rand
	deployment       decl.Deployment
	revision         int64
	server, follower *confstate.State
	output           *countingWriter
	encoder          *gob.Encoder
}

// countingWriter counts the bytes that are written to it.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

func newConfigDistribution(callerCount int) *configDistribution {
	d := &configDistribution{rng: rand.New(rand.NewPCG(7, 0)), output: &countingWriter{}}
	d.encoder = gob.NewEncoder(d.output)
	d.deployment.Name = deploymentName
	for range callerCount {
		d.deployment.Callers = append(d.deployment.Callers, d.newCaller())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	newState := func(id string) *confstate.State {
		return confstate.New(confstate.Options{Deployment: deploymentName, Self: config.Peer{ID: id}, Log: log, Config: config.DefaultFollowerConfig()})
	}
	d.server, d.follower = newState("server"), newState("follower")
	return d
}

func (d *configDistribution) newCaller() decl.Caller {
	digest := fmt.Sprintf("%016x%016x%016x%016x", d.rng.Uint64(), d.rng.Uint64(), d.rng.Uint64(), d.rng.Uint64())
	return decl.Caller{Name: fmt.Sprint("caller-", d.rng.Uint32()), Agency: fmt.Sprint("agency-", d.rng.IntN(40)), Weight: 1, KeySHA256: digest, RateLimit: 50, Burst: 100}
}

// changeDeployment makes a change like those of operators, which mostly change a field, and
// applies it at the server.
func (d *configDistribution) changeDeployment() error {
	callers := append([]decl.Caller(nil), d.deployment.Callers...)
	index := d.rng.IntN(len(callers))
	switch d.rng.IntN(6) {
	case 0:
		callers = append(callers, d.newCaller())
	case 1:
		callers = append(callers[:index], callers[index+1:]...)
	default:
		callers[index].Weight = float64(1 + d.rng.IntN(1000))
	}
	d.deployment.Callers = callers
	d.revision++
	return d.server.ApplyReply(d.snapshotReply())
}

func (d *configDistribution) snapshotReply() wire.ConfigReply {
	encoded, err := json.Marshal(confstate.Snapshot{Revision: d.revision, Deployment: d.deployment})
	if err != nil {
		panic(err) // structs of strings and finite numbers always encode
	}
	return wire.ConfigReply{Revision: d.revision, Snapshot: encoded}
}

// meanUpdateBytes returns the mean number of bytes that update a follower that has missed
// the given number of changes.
func (d *configDistribution) meanUpdateBytes(missed int) (float64, error) {
	if err := errors.WithStack(d.changeDeployment()); err != nil {
		return 0, err
	}
	if err := d.follower.ApplyReply(d.snapshotReply()); err != nil {
		return 0, err
	}
	bytesBefore := d.output.bytes
	rounds := distributedChanges / missed
	for range rounds {
		for range missed {
			if err := d.changeDeployment(); err != nil {
				return 0, err
			}
		}
		if err := d.updateFollower(); err != nil {
			return 0, err
		}
	}
	return float64(d.output.bytes-bytesBefore) / float64(rounds), nil
}

// updateFollower sends the follower the update that it lacks and counts its bytes.
func (d *configDistribution) updateFollower() error {
	reply, behind := d.server.UpdateFor(d.follower.Revisions())
	if !behind {
		return errors.New("config distribution: the follower lacks no change")
	}
	if err := d.encoder.Encode(reply); err != nil {
		return errors.WithStack(err)
	}
	if err := d.follower.ApplyReply(reply); err != nil {
		return err
	}
	if d.follower.Revision() != d.revision {
		return errors.New("config distribution: the follower did not apply the change")
	}
	return nil
}
