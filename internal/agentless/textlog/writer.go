package textlog

import "time"

// writer writes what the log has gathered. Only its goroutine touches files that
// are open.
type writer struct {
	log      *Log
	files    map[string]*logFile  // by job
	removals map[string]time.Time // when files that are not open are removed, by name
}

// takeStock has the files that are there at the start removed unless their jobs
// are taken on.
func (w *writer) takeStock(now time.Time) {
	for _, name := range w.log.dir.list() {
		w.removals[name] = now.Add(keepIdle)
	}
}

func (w *writer) flush(now time.Time) {
	for _, g := range w.log.Drain(0) {
		if err := w.write(&g, now); err != nil {
			w.log.Stop(g.Job, err.Error())
		}
	}
	w.closeIdle(now)
	w.removeDue(now)
	w.log.stats.onDisk.Update(w.onDisk())
}

// write appends parts to the job's file and syncs it. The first write under a mark
// begins a new file, which holds all that is known; those before it then go.
func (w *writer) write(g *JobParts, now time.Time) error {
	f := w.files[g.Job]
	if f == nil || f.mark != g.Mark {
		fresh, err := w.log.dir.open(g.Job, g.Mark)
		if err != nil {
			return err
		}
		if f != nil {
			f.close()
		}
		f = fresh
		w.files[g.Job] = f
		delete(w.removals, nameOf(g.Job, g.Mark))
	}
	began := time.Now()
	written, err := f.append(g.Parts)
	if err != nil {
		return err
	}
	f.used = now
	w.log.stats.sync.UpdateSince(began)
	w.log.stats.written.Inc(written)
	if w.onDisk() > mostOnDisk {
		return errDiskShare
	}
	if !f.alone {
		f.alone = true
		w.removeOthers(g.Job, g.Mark)
	}
	return nil
}

// removeOthers removes a job's files of other marks.
func (w *writer) removeOthers(job string, mark int64) {
	for _, name := range w.log.dir.of(job) {
		if name != nameOf(job, mark) {
			delete(w.removals, name)
			w.log.dir.remove(name)
		}
	}
}

func (w *writer) onDisk() int64 {
	total := int64(0)
	for _, f := range w.files {
		total += f.size
	}
	return total
}

// drop has a job's files removed once the next owner has had time to ask for them.
func (w *writer) drop(job string, now time.Time) {
	if f := w.files[job]; f != nil {
		f.close()
		delete(w.files, job)
	}
	for _, name := range w.log.dir.of(job) {
		w.removals[name] = now.Add(keepDropped)
	}
}

// closeIdle closes files to which nothing was added for long: copies of other
// owners' jobs that ended.
func (w *writer) closeIdle(now time.Time) {
	for job, f := range w.files {
		if now.Sub(f.used) > keepIdle {
			w.log.Buffer.Drop(job, f.mark)
			w.drop(job, now)
		}
	}
}

func (w *writer) removeDue(now time.Time) {
	for name, at := range w.removals {
		if now.After(at) {
			delete(w.removals, name)
			w.log.dir.remove(name)
		}
	}
}

func (w *writer) close() {
	for _, f := range w.files {
		f.close()
	}
}
