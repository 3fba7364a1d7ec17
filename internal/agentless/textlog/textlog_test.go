package textlog_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

const eventuallyTimeout = 20 * time.Second

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func spec(items int) *batch.Spec {
	s := &batch.Spec{ID: "job", Model: "m", MinVersion: 3}
	for i := range items {
		s.Items = append(s.Items, batch.Item{ID: fmt.Sprintf("i%d", i), Group: "g"})
	}
	return s
}

var _ = Describe("the log of texts", func() {
	var dir string
	var registry metrics.Registry
	var stop func()

	open := func() *textlog.Log {
		registry = metrics.NewRegistry()
		return textlog.New(dir, discardLogger(), registry)
	}
	run := func(l *textlog.Log) {
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = l.Run(ctx) })
		stop = func() { cancel(); done.Wait() }
		DeferCleanup(stop)
	}
	write := func(l *textlog.Log, token int64, item string, from, to int64) {
		for id := from; id <= to; id++ {
			l.Event("job", token, item, id, []byte(fmt.Sprintf("e%d", id)), 3)
		}
	}
	synced := func() int64 { return metrics.GetOrRegisterTimer("texts.sync", registry).Count() }
	awaitSync := func(l *textlog.Log) {
		before := synced()
		l.Event("job", 7, "settle", 1, []byte("x"), 3)
		EventuallyWithOffset(1, synced).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before))
	}
	// resumedEvents returns the number of events that each of a job's three items has
	// after the job resumed the loaded texts.
	resumedEvents := func(l *textlog.Log) []int64 {
		scored := spec(3)
		for i := range scored.Items {
			scored.Items[i].Scorer = &batch.Scorer{ID: "s"} // otherwise a complete text counts as a result
		}
		job := batch.NewJob(scored, nil)
		job.ResumeTexts(l.Load(context.Background(), "job"))
		counts := make([]int64, 3)
		for i := range counts {
			counts[i] = job.EventCount(i)
		}
		return counts
	}
	files := func() []string {
		names, err := filepath.Glob(filepath.Join(dir, "*"))
		Expect(err).NotTo(HaveOccurred())
		return names
	}

	BeforeEach(func() { dir = filepath.Join(GinkgoT().TempDir(), "texts") })

	It("keeps the texts sent to a standby when the standby restarts and the owner does not", func() {
		// Only the standby restarts. The owner's next events continue 40 that the new
		// process does not know. Accepting them would replace the file that holds those
		// 40, and all texts would be lost with the owner.
		part := func(first, events int64) batch.TextPart {
			p := batch.TextPart{Item: "i0", First: first}
			for id := first; id < first+events; id++ {
				p.Events = append(p.Events, []byte(fmt.Sprintf("e%d", id)))
				p.Versions = append(p.Versions, 3)
			}
			return p
		}
		dir = GinkgoT().TempDir()
		before := open()
		run(before)
		Expect(before.Put(textlog.JobParts{Job: "job", Mark: 7, Parts: []batch.TextPart{part(1, 40)}}, true)).To(BeTrue())
		Eventually(synced).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
		stop()
		again := open()
		run(again)
		Expect(again.Put(textlog.JobParts{Job: "job", Mark: 7, Parts: []batch.TextPart{part(41, 8)}}, false)).To(BeFalse(), "the owner must send a full copy")
		Consistently(func() int64 { return resumedEvents(again)[0] }).WithTimeout(300 * time.Millisecond).Should(Equal(int64(40)))
		Expect(again.Put(textlog.JobParts{Job: "job", Mark: 7, Parts: []batch.TextPart{part(1, 48)}}, true)).To(BeTrue())
		Eventually(func() int64 { return resumedEvents(again)[0] }).WithTimeout(eventuallyTimeout).Should(Equal(int64(48)))
		Expect(again.Put(textlog.JobParts{Job: "job", Mark: 7, Parts: []batch.TextPart{part(49, 2)}}, false)).To(BeTrue())
		Eventually(func() int64 { return resumedEvents(again)[0] }).WithTimeout(eventuallyTimeout).Should(Equal(int64(50)))
	})

	It("restores the texts of a killed process", func() {
		// The owner is killed in the middle of a step. Its successor takes over the job
		// under a newer token and continues after the last event on disk. If it is killed
		// before it generated any event, nothing is lost either.
		first := open()
		run(first)
		first.Begin("job", 7, batch.NewTexts())
		write(first, 7, "i0", 1, 40)
		write(first, 7, "i1", 1, 3)
		first.Complete("job", 7, "i1", 3)
		awaitSync(first)
		stop()

		second := open()
		Expect(resumedEvents(second)).To(Equal([]int64{40, 3, 0}))
		run(second)
		second.Begin("job", 9, second.Load(context.Background(), "job"))
		Eventually(func() []string { return files() }).WithTimeout(eventuallyTimeout).Should(ConsistOf(ContainSubstring("09.texts")))
		stop()
		Expect(resumedEvents(open())).To(Equal([]int64{40, 3, 0}))
	})

	It("restores that a text is complete", func() {
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 2)
		l.Complete("job", 7, "i0", 2)
		awaitSync(l)
		job := batch.NewJob(spec(1), nil)
		job.ResumeTexts(l.Load(context.Background(), "job"))
		_, results := job.PendingResults()
		Expect(results).To(HaveLen(1))
		Expect(string(results[0].Output)).To(Equal("e1\ne2"))
	})

	It("restores a score, so that the text is not scored again", func() {
		// The step is not complete, so its results are not written yet. The owner is killed.
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 2)
		l.Complete("job", 7, "i0", 2)
		awaitSync(l)
		l.Add("job", 7, batch.TextPart{Item: "i0", First: 3, Complete: true, Score: "sealed"})
		awaitSync(l)
		scored := spec(1)
		scored.Items[0].Scorer = &batch.Scorer{ID: "s"}
		job := batch.NewJob(scored, nil)
		job.ResumeTexts(l.Load(context.Background(), "job"))
		_, results := job.PendingResults()
		Expect(results).To(HaveLen(1))
		Expect(results[0].Score).To(Equal("sealed"))
	})

	It("ignores the events of a run that was started under an earlier token", func() {
		// The job is taken over again while an earlier run is still ending. The events of
		// that run continue a text that the new run does not continue.
		l := open()
		run(l)
		l.Begin("job", 5, batch.NewTexts())
		write(l, 5, "i0", 1, 4)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 5, "i0", 5, 9)
		write(l, 7, "i0", 1, 2)
		write(l, 5, "i0", 3, 3)
		awaitSync(l)
		Expect(resumedEvents(l)[0]).To(Equal(int64(2)))
	})

	It("uses the records before a torn one, and after it only texts that start again", func() {
		// After a power failure some of the file's later blocks are present and some are not.
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 10)
		awaitSync(l)
		stat, err := os.Stat(files()[0])
		Expect(err).NotTo(HaveOccurred())
		intactSize := stat.Size()
		write(l, 7, "i0", 11, 20)
		awaitSync(l)
		hole, err := os.Stat(files()[0])
		Expect(err).NotTo(HaveOccurred())
		big := make([]byte, 40<<10) // the reader continues at the next block
		l.Event("job", 7, "i1", 1, big, 3)
		awaitSync(l)
		write(l, 7, "i0", 21, 30)
		write(l, 7, "i2", 1, 5)
		awaitSync(l)
		stop()
		f, err := os.OpenFile(files()[0], os.O_RDWR, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.WriteAt(make([]byte, hole.Size()-intactSize), intactSize)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Close()).To(Succeed())
		counts := resumedEvents(open())
		Expect(counts[0]).To(Equal(int64(10)), "later parts continue events that are lost")
		Expect(counts[2]).To(Equal(int64(5)))
	})

	It("loads only events in order from a file truncated at any byte", func() {
		// The process is killed while it writes a record, which leaves a part of it.
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 30)
		awaitSync(l)
		write(l, 7, "i0", 31, 60)
		awaitSync(l)
		stop()
		path := files()[0]
		raw, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for cut := 0; cut <= len(raw); cut += 37 {
			Expect(os.WriteFile(path, raw[:cut], 0o600)).To(Succeed())
			Expect(resumedEvents(open())[0]).To(BeElementOf(int64(0), int64(30), int64(60)))
		}
	})

	It("ignores a file of another job under the job's file name", func() {
		// If the header were not checked, the job would resume the texts of another one.
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 3)
		awaitSync(l)
		stop()
		raw, err := os.ReadFile(files()[0])
		Expect(err).NotTo(HaveOccurred())
		name := filepath.Base(files()[0])
		other := open()
		run(other)
		other.Begin("other", 7, batch.NewTexts())
		other.Event("other", 7, "i0", 1, []byte("x"), 3)
		Eventually(func() int { return len(files()) }).WithTimeout(eventuallyTimeout).Should(Equal(2))
		stop()
		for _, path := range files() {
			if filepath.Base(path) != name {
				Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
			}
		}
		job := batch.NewJob(spec(1), nil)
		items, _ := job.ResumeTexts(open().Load(context.Background(), "other"))
		Expect(items).To(BeZero())
	})

	It("removes the files of a job that ended", func() {
		// A drop under an older token belongs to an earlier adoption of the job, and must not
		// remove the texts of the current one.
		l := open()
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 3)
		awaitSync(l)
		l.Drop("job", 5)
		write(l, 7, "i0", 4, 4)
		awaitSync(l)
		Expect(files()).To(HaveLen(1), "it is open under a newer token")
		l.Drop("job", 7)
		Consistently(files).WithTimeout(200*time.Millisecond).Should(HaveLen(1), "the next owner may ask for it")
		Eventually(files).WithTimeout(eventuallyTimeout).Should(BeEmpty())
	})

	It("stops storing a job when the disk is full, without blocking", func() {
		// Writes fail because the disk is full. Data synced before remains usable.
		l := open()
		full := &limitedFile{left: 2000}
		l.SetCreate(func(path string) (textlog.File, error) {
			f, err := os.Create(path)
			full.file = f
			return full, err
		})
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		write(l, 7, "i0", 1, 3)
		awaitSync(l)
		write(l, 7, "i0", 4, 500)
		Eventually(func() int64 { return metrics.GetOrRegisterCounter("texts.stopped", registry).Count() }).WithTimeout(eventuallyTimeout).Should(Equal(int64(1)))
		write(l, 7, "i0", 501, 600)
		stop()
		Expect(resumedEvents(open())[0]).To(BeElementOf(int64(0), int64(3)))
	})

	It("accepts a bounded number of events without blocking while the disk hangs", func() {
		// Events are added under the lock of their job. If that blocked, the job would stop.
		l := open()
		hang := make(chan struct{})
		l.SetCreate(func(path string) (textlog.File, error) {
			<-hang
			return os.Create(path)
		})
		run(l)
		l.Begin("job", 7, batch.NewTexts())
		l.Event("job", 7, "i0", 1, []byte("first"), 3)
		big := make([]byte, 1<<20)
		for id := int64(2); id <= 20; id++ {
			l.Event("job", 7, "i0", id, big, 3)
		}
		Expect(metrics.GetOrRegisterCounter("texts.stopped", registry).Count()).To(Equal(int64(1)))
		close(hang)
	})

	It("stores nothing on a machine without a disk", func() {
		var none *textlog.Log
		Expect(textlog.New("", discardLogger(), metrics.NewRegistry())).To(BeNil())
		none.Begin("job", 7, batch.NewTexts())
		none.Add("job", 7, batch.TextPart{Item: "i0", First: 1})
		Expect(none.Put(textlog.JobParts{Job: "job", Mark: 7}, false)).To(BeTrue(), "a nil log never asks for a full copy")
		none.Drop("job", 7)
		Expect(none.Run(context.Background())).To(Succeed())
		Expect(none.Load(context.Background(), "job").Parts()).To(BeEmpty())
	})
})

// limitedFile is a file on a disk that is full after left more bytes.
type limitedFile struct {
	file *os.File
	left int
}

func (f *limitedFile) Write(p []byte) (int, error) {
	if len(p) > f.left {
		return 0, syscall.ENOSPC
	}
	f.left -= len(p)
	return f.file.Write(p)
}

func (f *limitedFile) Sync() error  { return f.file.Sync() }
func (f *limitedFile) Close() error { return f.file.Close() }
