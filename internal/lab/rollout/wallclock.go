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
	benchGroups = 512
	benchSize   = 8
	benchLot    = 256
	benchTokens = 256
)

// WallClock times one step of 4,096 samples through labels and hand-over on one
// core, with every manifest written, beside the same samples passed on by a
// plain queue, and tells the memory that each sample in the owner's pool takes.
func WallClock() ([]bounds.Figure, error) {
	shape := sample.Shape{Groups: benchGroups, Size: benchSize}
	began := time.Now()
	samples, err := labelledStep(shape)
	if err != nil {
		return nil, err
	}
	labelling := time.Since(began)
	before := heapBytes()
	began = time.Now()
	owner := servingOwner(shape)
	for _, s := range samples {
		owner.step(handover.Completed{Sample: s})
	}
	filling := time.Since(began)
	perSample := float64(heapBytes()-before) / float64(len(samples))
	began = time.Now()
	handed := owner.handOver(len(samples))
	handing := time.Since(began)
	total := (labelling + filling + handing).Seconds()
	return []bounds.Figure{
		{Name: "rollout.step_4096_ms", Value: (filling + handing).Seconds() * 1e3},
		{Name: "rollout.step_4096_ms.baseline", Value: plainQueue(samples).Seconds() * 1e3},
		{Name: "rollout.samples_per_s_core", Value: float64(handed) / total},
		{Name: "rollout.pool_bytes_per_sample", Value: perSample},
	}, nil
}

func labelledStep(shape sample.Shape) ([]sample.Sample, error) {
	samples := make([]sample.Sample, 0, shape.Slots())
	read := wire.ReadReply{Tokens: make([]string, benchTokens), Versions: make([]int64, benchTokens)}
	for i := range read.Versions {
		read.Versions[i] = 1 + int64(i*2/benchTokens)
	}
	for slot := range shape.Slots() {
		var b labels.Builder
		if err := b.Add(read); err != nil {
			return nil, err
		}
		segments, err := b.Finish(benchTokens, nil)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample.Sample{ID: shape.IDAt(0, slot), Segments: segments, FirstTokenAt: time.Unix(0, 0)})
	}
	return samples, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchOwner answers its own reads and writes at once.
type benchOwner struct {
	state    *handover.Owner
	client   *handover.Client
	revision int64
	calls    uint64
	handed   int
}

func servingOwner(shape sample.Shape) *benchOwner {
	o := &benchOwner{
		state:  handover.New(handover.Config{Shape: shape, LotSize: benchLot, Limits: sample.Limits{MaxVersionLag: 1}}, "bench", 1),
		client: handover.NewClient(handover.Position{}, 1),
	}
	o.step(handover.Tick{})
	return o
}

func (o *benchOwner) step(e handover.Event) {
	for _, a := range o.state.Step(time.Unix(0, 0), e) {
		switch a := a.(type) {
		case handover.Read:
			o.step(handover.ReadDone{})
		case handover.Write:
			o.revision++
			o.step(handover.WriteDone{Nonce: a.Nonce, Result: handover.WriteApplied, Revision: o.revision})
		case handover.Reply:
			o.handed += len(o.client.HandleAnswer(a.Answer, 1))
		}
	}
}

func (o *benchOwner) handOver(samples int) int {
	for o.handed < samples && o.calls < uint64(samples) {
		o.calls++
		o.step(handover.Pulled{Call: o.calls, Pull: o.client.Pull(1)})
	}
	return o.handed
}

func plainQueue(samples []sample.Sample) time.Duration {
	began := time.Now()
	queue := make(chan sample.Sample, len(samples))
	for _, s := range samples {
		queue <- s
	}
	close(queue)
	lot := make([]sample.Sample, 0, benchLot)
	for s := range queue {
		if len(lot) == benchLot {
			lot = lot[:0]
		}
		lot = append(lot, s)
	}
	runtime.KeepAlive(lot)
	return time.Since(began)
}
