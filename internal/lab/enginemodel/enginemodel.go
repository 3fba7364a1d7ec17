// Package enginemodel is a small model of a batching engine in virtual time: a
// fixed number of slots, one token for every sample of the batch at each step,
// and a step that takes longer the fuller the batch is.
package enginemodel

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// Job is one sample on an engine.
type Job struct {
	Feed         string
	ID           sample.ID
	Prompt       int // tokens
	Length       int // tokens in all
	Tokens       int // generated so far
	Cached       int // tokens, of the prompt first, whose KV cache the engine has
	Segments     []wire.Segment
	FirstTokenAt time.Time
}

func (j *Job) generate(version int64) {
	last := len(j.Segments) - 1
	if last < 0 || j.Segments[last].Version != version {
		j.Segments = append(j.Segments, wire.Segment{Version: version, From: j.Tokens, To: j.Tokens})
		last++
	}
	j.Tokens++
	j.Segments[last].To = j.Tokens
}

// Engine generates the jobs in its slots; those beyond wait in order.
type Engine struct {
	Pace            rollout.Pace
	PrefillPerToken time.Duration // of one token whose KV cache the engine has not; 0: nothing
	Slots           int
	Version         int64
	others          int // slots that callers' requests use
	running         []*Job
	waiting         []*Job
	pending         time.Duration // prefill of the jobs that came to a slot since the last step
	prompts         map[prompt]bool
}

// prompt is a group's prompt whose KV cache a version computed; the group's
// samples share it.
type prompt struct {
	feed        string
	step, group int64
	version     int64
}

// prefill returns the time that a job's KV cache takes that the engine has not.
func (e *Engine) prefill(j *Job) time.Duration {
	if e.PrefillPerToken == 0 {
		return 0
	}
	key := prompt{feed: j.Feed, step: j.ID.Step, group: j.ID.Group, version: e.Version}
	if e.prompts[key] {
		j.Cached = max(j.Cached, j.Prompt)
	}
	if e.prompts == nil {
		e.prompts = map[prompt]bool{}
	}
	e.prompts[key] = true
	return time.Duration(j.Prompt+j.Tokens-j.Cached) * e.PrefillPerToken
}

// UsedByOthers returns the number of slots that callers' requests use.
func (e *Engine) UsedByOthers() int { return e.others }

// SetUsedByOthers has callers' requests use n slots. The jobs that lose theirs wait
// for one and keep no KV cache.
func (e *Engine) SetUsedByOthers(n int) {
	e.others = n
	for len(e.running) > max(0, e.Slots-n) {
		last := len(e.running) - 1
		j := e.running[last]
		j.Cached = 0
		e.running = e.running[:last]
		e.waiting = append([]*Job{j}, e.waiting...)
	}
	e.fill()
}

// Add gives the engine a job.
func (e *Engine) Add(j *Job) {
	e.waiting = append(e.waiting, j)
	e.fill()
}

func (e *Engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots-e.others {
		j := e.waiting[0]
		e.pending += e.prefill(j)
		e.running = append(e.running, j)
		e.waiting = e.waiting[1:]
	}
}

// Remove takes a job away and returns it; nil if it is not here.
func (e *Engine) Remove(feed string, id sample.ID) *Job {
	for _, list := range []*[]*Job{&e.running, &e.waiting} {
		for i, j := range *list {
			if j.Feed == feed && j.ID == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				e.fill()
				return j
			}
		}
	}
	return nil
}

// Find returns a job; nil if it is not here.
func (e *Engine) Find(feed string, id sample.ID) *Job {
	var found *Job
	e.Each(func(j *Job) {
		if j.Feed == feed && j.ID == id {
			found = j
		}
	})
	return found
}

// RunningJobs returns the number of jobs in slots.
func (e *Engine) RunningJobs() int { return len(e.running) }

// Each calls fn with every job.
func (e *Engine) Each(fn func(*Job)) {
	for _, j := range e.running {
		fn(j)
	}
	for _, j := range e.waiting {
		fn(j)
	}
}

// BeginStep returns the time that the next step takes, with the prefill of the
// jobs that came to a slot since the last one.
func (e *Engine) BeginStep() time.Duration {
	took := e.Pace.TokenTime(len(e.running)+e.others) + e.pending
	e.pending = 0
	return took
}

// Step generates one token for every job in a slot and returns those that are
// complete; their slots are free again.
func (e *Engine) Step(now time.Time) []*Job {
	var done, left []*Job
	for _, j := range e.running {
		if j.Tokens == 0 {
			j.FirstTokenAt = now
		}
		j.generate(e.Version)
		j.Cached = j.Prompt + j.Tokens
		if j.Tokens >= j.Length {
			done = append(done, j)
			continue
		}
		left = append(left, j)
	}
	e.running = left
	e.fill()
	return done
}
