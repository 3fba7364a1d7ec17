package routing

import (
	"strconv"
	"testing"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	queueLength  = 10_000
	queueBatch   = 1_000
	queueBatches = 100
)

// WallClock measures the time in nanoseconds of a choice among 32 candidates and of
// operations on a queue of 10,000 requests, each with its baseline.
func WallClock() ([]bounds.Figure, error) {
	enqueue, dequeue := timeQueue()
	return []bounds.Figure{
		{Name: "bench.choice_32_ns", Value: nsPerOp(benchChoice)},
		{Name: "bench.choice_32_ns.baseline", Value: nsPerOp(benchRoundRobin)},
		{Name: "bench.enqueue_10000_ns", Value: enqueue},
		{Name: "bench.dequeue_10000_ns", Value: dequeue},
		{Name: "bench.enqueue_dequeue_10000_ns.baseline", Value: nsPerOp(benchFIFO)},
	}, nil
}

func nsPerOp(run func(b *testing.B)) float64 {
	r := testing.Benchmark(run)
	return float64(r.T.Nanoseconds()) / float64(max(r.N, 1))
}

func benchChoice(b *testing.B) {
	chooser, candidates := newChoice(choiceCandidates)
	request := choose.Request{Now: epoch, Business: "b", Prefix: hotPrefix, Exclude: []string{"agent-3"}}
	for b.Loop() {
		chooser.Choose(request, candidates)
	}
}

func benchRoundRobin(b *testing.B) {
	_, candidates := newChoice(choiceCandidates)
	var chosen *choose.Candidate
	turn := 0
	for b.Loop() {
		turn++
		chosen = candidates[turn%len(candidates)]
	}
	_ = chosen
}

// timeQueue measures batches of enqueues to a queue of 10,000 waiting requests of 100
// callers, and of dequeues back to that length. A dequeue is the end of the running
// request, which starts the next one in fair order. It returns the nanoseconds of one
// enqueue and one dequeue.
func timeQueue() (enqueue, dequeue float64) {
	q := admission.New(admission.Config{Slots: 1, QueueLimit: 4 * queueLength})
	next := 0
	offer := func(n int) time.Duration {
		startedAt := time.Now()
		for range n {
			q.Offer(epoch, queueItem(next))
			next++
		}
		return time.Since(startedAt)
	}
	offer(queueLength + 1)
	running := "0"
	var enqueueTime, dequeueTime time.Duration
	for range queueBatches {
		enqueueTime += offer(queueBatch)
		startedAt := time.Now()
		for range queueBatch {
			running = q.Done(epoch, running)[0].ID
		}
		dequeueTime += time.Since(startedAt)
	}
	const ops = queueBatches * queueBatch
	return float64(enqueueTime.Nanoseconds()) / ops, float64(dequeueTime.Nanoseconds()) / ops
}

func queueItem(i int) admission.Item {
	return admission.Item{
		ID:        strconv.Itoa(i),
		Principal: wire.Principal{Business: businesses[i%4], Agency: agencies[i%20], Caller: callers[i%100]},
		Deadline:  epoch.Add(time.Hour + time.Duration(i)*time.Millisecond),
		Cost:      meanService / 10,
	}
}

// Names of the businesses, agencies and callers of the benchmark.
var businesses, agencies, callers = names(4), names(20), names(100)

func names(n int) []string {
	var all []string
	for i := range n {
		all = append(all, strconv.Itoa(i))
	}
	return all
}

func benchFIFO(b *testing.B) {
	fifo := make(chan admission.Item, queueLength+1)
	for range queueLength {
		fifo <- admission.Item{}
	}
	for b.Loop() {
		fifo <- <-fifo
	}
}
