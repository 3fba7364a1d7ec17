package gate

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
)

const (
	// maxAnswerBytes is the limit of an answer that is held in memory.
	maxAnswerBytes = 64 << 20
	// freeAnswerBytes is the part of each answer that is not counted, so that usual answers are read
	// also while others use up all the memory.
	freeAnswerBytes = 64 << 10
	// answerStepBytes is by how much the memory of an answer grows at a time.
	answerStepBytes = 256 << 10
	// answerMemoryShare is the share of a process's memory that answers may take while they are read and
	// until their callers have taken them. A buffer that grows takes up to three times its size.
	answerMemoryShare = 1.0 / 6
)

// reclaimTimeout bounds how long an answer waits for the memory of one whose caller does not take it.
const reclaimTimeout = 500 * time.Millisecond

// errNoMemory reports an answer for which there is no memory, as others hold it.
var errNoMemory = errors.New("gate: other answers take all the memory for them")

// answerMemory bounds the memory of the answers that a process holds at the same time: faulty endpoints
// may send bodies without end, and callers may not read what they asked for. The zero value bounds each
// answer only.
type answerMemory struct{ left *semaphore.Weighted }

// SetMemory sets the memory of the process in bytes, by which the answers that it holds at the same time
// are bounded. It must be called before the gate is used.
func (g *Gate) SetMemory(bytes int64) {
	g.answers = answerMemory{left: semaphore.NewWeighted(int64(answerMemoryShare * float64(bytes)))}
}

// HoldAnswer takes memory for an answer of n bytes that doesn't come from an endpoint. It returns false
// if there is none; otherwise release must be called once the answer has been written.
func (g *Gate) HoldAnswer(n int) (release func(), ok bool) {
	lease := g.newAnswerLease()
	for held := freeAnswerBytes; held < n; held += answerStepBytes {
		if !lease.reserve() {
			lease.release()
			return nil, false
		}
	}
	return lease.release, true
}

// acquire takes memory for one step, and returns whether there is any. reclaim ends an answer that its
// caller does not take, and returns false if there is none; it may be nil.
func (m answerMemory) acquire(reclaim func() bool) bool {
	if m.left == nil || m.left.TryAcquire(answerStepBytes) {
		return true
	}
	if reclaim == nil || !reclaim() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), reclaimTimeout)
	defer cancel()
	return m.left.Acquire(ctx, answerStepBytes) == nil
}

// newAnswerLease returns the memory of the answers to one request, which is empty.
func (g *Gate) newAnswerLease() *answerLease {
	return &answerLease{memory: g.answers, reclaim: g.Reclaim}
}

// answerLease is the memory of the answers to one request: of those that are read, and of the one that
// is passed on until its caller has taken it.
type answerLease struct {
	memory  answerMemory
	reclaim func() bool

	mu    sync.Mutex
	steps int64
	ended bool
}

// reserve takes memory for one step, and returns whether there is any.
func (l *answerLease) reserve() bool {
	if !l.memory.acquire(l.reclaim) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	if l.ended { // an attempt that still reads after the request has ended
		l.giveBack()
		return false
	}
	return true
}

// release returns the memory. The request has ended: no more can be reserved.
func (l *answerLease) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.giveBack()
}

// giveBack returns the memory; l.mu must be held.
func (l *answerLease) giveBack() {
	if l.memory.left != nil {
		l.memory.left.Release(l.steps * answerStepBytes)
	}
	l.steps = 0
}

// read reads an answer's body. It returns errTooLarge if that is longer than maxAnswerBytes, and
// errNoMemory if there is no memory for it.
func (l *answerLease) read(a *dispatch.Answer) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.CopyN(&body, a.Body, freeAnswerBytes)
	for err == nil {
		if !l.reserve() {
			return nil, errNoMemory
		}
		_, err = io.CopyN(&body, a.Body, min(answerStepBytes, int64(maxAnswerBytes+1-body.Len())))
		if body.Len() > maxAnswerBytes {
			return nil, errTooLarge
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body.Bytes(), nil
}
