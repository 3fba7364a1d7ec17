package gate

import (
	"bytes"
	"io"

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
	// answerMemoryShare is the share of a process's memory that answers may take while they are read.
	// A buffer that grows takes up to three times its size.
	answerMemoryShare = 1.0 / 6
)

// errNoMemory reports an answer for which there is no memory, as others are read.
var errNoMemory = errors.New("gate: answers that are read take all the memory for them")

// answerMemory bounds the memory of the answers that a process reads at the same time: faulty endpoints
// may send bodies without end. The zero value bounds each answer only.
type answerMemory struct{ left *semaphore.Weighted }

// SetMemory sets the memory of the process in bytes, by which answers that are read at the same time
// are bounded. It must be called before the gate is used.
func (g *Gate) SetMemory(bytes int64) {
	g.answers = answerMemory{left: semaphore.NewWeighted(int64(answerMemoryShare * float64(bytes)))}
}

// reserve takes memory for one step, and reports whether there was any.
func (m answerMemory) reserve() bool { return m.left == nil || m.left.TryAcquire(answerStepBytes) }

// release returns the memory of a number of steps.
func (m answerMemory) release(steps int64) {
	if m.left != nil {
		m.left.Release(steps * answerStepBytes)
	}
}

// read reads an answer's body. It returns errTooLarge if that is longer than maxAnswerBytes, and
// errNoMemory if there is no memory for it.
func (m answerMemory) read(a *dispatch.Answer) ([]byte, error) {
	var body bytes.Buffer
	steps := int64(0)
	defer func() { m.release(steps) }()
	_, err := io.CopyN(&body, a.Body, freeAnswerBytes)
	for err == nil {
		if !m.reserve() {
			return nil, errNoMemory
		}
		steps++
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
