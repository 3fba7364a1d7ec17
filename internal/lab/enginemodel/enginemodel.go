// Package enginemodel is a small model of a batching engine in virtual time. The
// engine has a fixed number of slots, generates one token for every sample of the
// batch in each step, and takes longer for a step the fuller the batch is.
package enginemodel

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// Job is the generation of one sample at an engine.
type Job struct {
	Feed         string
	ID           sample.ID
	Prompt       int // tokens of the prompt
	Length       int // tokens to generate
	Tokens       int // tokens generated so far
	Cached       int // number of leading tokens, the prompt included, whose KV cache the engine holds
	Segments     []wire.Segment
	FirstTokenAt time.Time // when the first token was generated
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

// Engine generates the jobs in its slots; further jobs wait in the order of arrival.
type Engine struct {
	Pace            rollout.Pace
	PrefillPerToken time.Duration // time to compute the KV cache of one token; 0 means no time
	Slots           int
	Version         int64
	usedByOthers    int // slots used by callers' requests
	running         []*Job
	waiting         []*Job
	pendingPrefill  time.Duration // prefill of the jobs that got a slot since the last step
	prompts         map[promptKey]bool
}

// promptKey identifies the KV cache of a group's prompt, computed with one weight
// version. The samples of the group share it.
type promptKey struct {
	feed        string
	step, group int64
	version     int64
}

// prefill returns the time to compute the part of a job's KV cache that the engine
// doesn't hold.
func (e *Engine) prefill(j *Job) time.Duration {
	if e.PrefillPerToken == 0 {
		return 0
	}
	key := promptKey{feed: j.Feed, step: j.ID.Step, group: j.ID.Group, version: e.Version}
	if e.prompts[key] {
		j.Cached = max(j.Cached, j.Prompt)
	}
	if e.prompts == nil {
		e.prompts = map[promptKey]bool{}
	}
	e.prompts[key] = true
	return time.Duration(j.Prompt+j.Tokens-j.Cached) * e.PrefillPerToken
}

// UsedByOthers returns the number of slots used by callers' requests.
func (e *Engine) UsedByOthers() int { return e.usedByOthers }

// SetUsedByOthers sets the number of slots used by callers' requests to n. Jobs that
// lose their slots wait for another one and lose their KV cache.
func (e *Engine) SetUsedByOthers(n int) {
	e.usedByOthers = n
	for len(e.running) > max(0, e.Slots-n) {
		last := len(e.running) - 1
		j := e.running[last]
		j.Cached = 0
		e.running = e.running[:last]
		e.waiting = append([]*Job{j}, e.waiting...)
	}
	e.fill()
}

// Add adds a job to the engine.
func (e *Engine) Add(j *Job) {
	e.waiting = append(e.waiting, j)
	e.fill()
}

func (e *Engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots-e.usedByOthers {
		j := e.waiting[0]
		e.pendingPrefill += e.prefill(j)
		e.running = append(e.running, j)
		e.waiting = e.waiting[1:]
	}
}

// Remove removes a job and returns it, or returns nil if the engine doesn't have it.
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

// Find returns a job, or nil if the engine doesn't have it.
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

// Each calls fn with every job, running or waiting.
func (e *Engine) Each(fn func(*Job)) {
	for _, j := range e.running {
		fn(j)
	}
	for _, j := range e.waiting {
		fn(j)
	}
}

// BeginStep returns the duration of the next step, including the prefill of the jobs
// that got a slot since the last step.
func (e *Engine) BeginStep() time.Duration {
	duration := e.Pace.TokenTime(len(e.running)+e.usedByOthers) + e.pendingPrefill
	e.pendingPrefill = 0
	return duration
}

// Step generates one token for every job in a slot, removes the completed jobs from
// their slots and returns them.
func (e *Engine) Step(now time.Time) []*Job {
	var completed, unfinished []*Job
	for _, j := range e.running {
		if j.Tokens == 0 {
			j.FirstTokenAt = now
		}
		j.generate(e.Version)
		j.Cached = j.Prompt + j.Tokens
		if j.Tokens >= j.Length {
			completed = append(completed, j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.running = unfinished
	e.fill()
	return completed
}
