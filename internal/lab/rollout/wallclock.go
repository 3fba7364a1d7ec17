package rollout

import (
	"runtime"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/labels"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	benchGroups          = 512
	benchGroupSize       = 8
	benchLotSize         = 256
	benchTokensPerSample = 256
)

// WallClock measures the time of labelling and handing over one step of 4,096 samples on
// one core, with every manifest written, and the memory per sample in the owner's pool.
// The baseline is a plain queue that passes on the same samples.
func WallClock() ([]bounds.Figure, error) {
	shape := sample.Shape{Groups: benchGroups, Size: benchGroupSize}
	began := time.Now()
	samples, err := newLabelledSamples(shape)
	if err != nil {
		return nil, err
	}
	labelTime := time.Since(began)
	before := heapBytes()
	began = time.Now()
	owner := newBenchOwner(shape)
	for _, s := range samples {
		owner.step(handover.Completed{Sample: s})
	}
	fillTime := time.Since(began)
	perSample := float64(heapBytes()-before) / float64(len(samples))
	began = time.Now()
	handedOver := owner.handOver(len(samples))
	handOverTime := time.Since(began)
	total := (labelTime + fillTime + handOverTime).Seconds()
	return []bounds.Figure{
		{Name: "rollout.step_4096_ms", Value: (fillTime + handOverTime).Seconds() * 1e3},
		{Name: "rollout.step_4096_ms.baseline", Value: plainQueue(samples).Seconds() * 1e3},
		{Name: "rollout.samples_per_s_core", Value: float64(handedOver) / total},
		{Name: "rollout.pool_bytes_per_sample", Value: perSample},
	}, nil
}

// newLabelledSamples returns the samples of step 0 of the shape, each with two segments.
func newLabelledSamples(shape sample.Shape) ([]sample.Sample, error) {
	samples := make([]sample.Sample, 0, shape.Slots())
	reply := wire.ReadReply{Tokens: make([]string, benchTokensPerSample), Versions: make([]int64, benchTokensPerSample)}
	for i := range reply.Versions {
		reply.Versions[i] = 1 + int64(i*2/benchTokensPerSample)
	}
	for slot := range shape.Slots() {
		var builder labels.Builder
		if err := builder.Add(reply); err != nil {
			return nil, err
		}
		segments, err := builder.Finish(benchTokensPerSample, nil)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample.Sample{ID: shape.IDAt(0, slot), Segments: segments, FirstTokenAt: time.Unix(0, 0)})
	}
	return samples, nil
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchOwner is an owner with a trainer's client. Its reads and writes of the manifest
// complete immediately.
type benchOwner struct {
	owner      *handover.Owner
	client     *handover.Client
	revision   int64
	calls      uint64
	handedOver int
}

func newBenchOwner(shape sample.Shape) *benchOwner {
	o := &benchOwner{
		owner:  handover.New(handover.Config{Shape: shape, LotSize: benchLotSize, Limits: sample.Limits{MaxVersionLag: 1}}, "bench", 1),
		client: handover.NewClient(handover.Position{}, 1),
	}
	o.step(handover.Tick{})
	return o
}

func (o *benchOwner) step(e handover.Event) {
	for _, a := range o.owner.Step(time.Unix(0, 0), e) {
		switch a := a.(type) {
		case handover.Read:
			o.step(handover.ReadDone{})
		case handover.Write:
			o.revision++
			o.step(handover.WriteDone{Nonce: a.Nonce, Result: handover.WriteApplied, Revision: o.revision})
		case handover.Reply:
			o.handedOver += len(o.client.HandleAnswer(a.Answer, 1))
		}
	}
}

// handOver pulls until the client holds the given number of samples and returns the
// number that it holds.
func (o *benchOwner) handOver(samples int) int {
	for o.handedOver < samples && o.calls < uint64(samples) {
		o.calls++
		o.step(handover.Pulled{Call: o.calls, Pull: o.client.Pull(1)})
	}
	return o.handedOver
}

// plainQueue returns the time to pass the samples through a channel in lots.
func plainQueue(samples []sample.Sample) time.Duration {
	began := time.Now()
	queue := make(chan sample.Sample, len(samples))
	for _, s := range samples {
		queue <- s
	}
	close(queue)
	lot := make([]sample.Sample, 0, benchLotSize)
	for s := range queue {
		if len(lot) == benchLotSize {
			lot = lot[:0]
		}
		lot = append(lot, s)
	}
	runtime.KeepAlive(lot)
	return time.Since(began)
}
