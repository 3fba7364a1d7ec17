package textlog

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// writer writes what the log has gathered. Only its goroutine touches files that
// are open.
type writer struct {
	log       *Log
	files     map[string]*logFile
	unclaimed map[string]bool // files that were there at the start
	purge     time.Time       // when those still unclaimed are removed
}

// batchOfParts is what one flush writes of a job.
type batchOfParts struct {
	job   string
	mark  int64
	parts []batch.TextPart
}

// takeStock notes the files that are there at the start.
func (w *writer) takeStock() {
	w.unclaimed = map[string]bool{}
	for _, name := range w.log.dir.list() {
		w.unclaimed[name] = true
	}
	w.purge = time.Now().Add(keepUnclaimed)
}

func (w *writer) flush(now time.Time) {
	dropped, batches := w.log.take()
	for _, job := range dropped {
		w.remove(job)
	}
	for _, b := range batches {
		if err := w.write(&b); err != nil {
			w.fail(b.job, err)
		}
	}
	if len(w.unclaimed) > 0 && now.After(w.purge) {
		for name := range w.unclaimed {
			w.log.dir.remove(name)
		}
		w.unclaimed = nil
	}
	total := int64(0)
	for _, f := range w.files {
		total += f.size
	}
	w.log.stats.onDisk.Update(total)
}

// take returns what is to be done, and counts it as done.
func (l *Log) take() (dropped []string, batches []batchOfParts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped, l.dropped = l.dropped, nil
	for job, o := range l.jobs {
		if len(o.parts) == 0 {
			continue
		}
		for i := range o.parts {
			l.pending -= sizeOf(&o.parts[i])
		}
		batches = append(batches, batchOfParts{job, o.mark, o.parts})
		o.parts, o.last = nil, map[string]int{}
	}
	return dropped, batches
}

// write appends parts to the job's file and syncs it. The first write under a mark
// begins a new file, which holds all that is known; those before it then go.
func (w *writer) write(b *batchOfParts) error {
	f := w.files[b.job]
	if f == nil || f.mark != b.mark {
		fresh, err := w.log.dir.open(b.job, b.mark)
		if err != nil {
			return err
		}
		if f != nil {
			f.close()
		}
		f = fresh
		w.files[b.job] = f
	}
	began := time.Now()
	written, err := f.append(b.parts)
	if err != nil {
		return err
	}
	w.log.stats.sync.UpdateSince(began)
	w.log.stats.written.Inc(written)
	if w.onDisk() > mostOnDisk {
		return errDiskShare
	}
	for _, name := range w.log.dir.earlier(b.job, b.mark, f) {
		delete(w.unclaimed, name)
		w.log.dir.remove(name)
	}
	return nil
}

func (w *writer) onDisk() int64 {
	total := int64(0)
	for _, f := range w.files {
		total += f.size
	}
	return total
}

// fail keeps nothing more of a job whose file cannot be written. What is on disk
// of it is whole as far as it goes.
func (w *writer) fail(job string, err error) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	if o := w.log.jobs[job]; o != nil && !o.stopped {
		w.log.stop(job, o, err.Error())
	}
}

func (w *writer) remove(job string) {
	if f := w.files[job]; f != nil {
		f.close()
		delete(w.files, job)
	}
	for _, name := range w.log.dir.of(job) {
		delete(w.unclaimed, name)
		w.log.dir.remove(name)
	}
}

func (w *writer) close() {
	for _, f := range w.files {
		f.close()
	}
}
