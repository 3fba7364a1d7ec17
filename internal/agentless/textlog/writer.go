package textlog

import "time"

// writer writes the log's buffered events to files. Only its goroutine accesses open
// files.
type writer struct {
	log      *Log
	files    map[string]*logFile  // by job
	removeAt map[string]time.Time // when to remove files that are not open, by file name
}

// scheduleLeftovers schedules the removal of the files that exist at the start. Taking
// over their jobs cancels it.
func (w *writer) scheduleLeftovers(now time.Time) {
	for _, name := range w.log.dir.list() {
		w.removeAt[name] = now.Add(idleFileTTL)
	}
}

// flush writes the buffered events, then closes idle files and removes those that are
// due.
func (w *writer) flush(now time.Time) {
	for _, p := range w.log.Drain(0) {
		if err := w.write(&p, now); err != nil {
			w.log.Stop(p.Job, err.Error())
		}
	}
	w.closeIdle(now)
	w.removeDue(now)
	w.log.stats.onDisk.Update(w.onDisk())
}

// write appends parts to the job's file and syncs it. The first write under a token starts
// a new file, which contains all texts known so far; write then removes the job's older
// files.
func (w *writer) write(p *JobParts, now time.Time) error {
	f := w.files[p.Job]
	if f == nil || f.token != p.Mark {
		fresh, err := w.log.dir.open(p.Job, p.Mark)
		if err != nil {
			return err
		}
		if f != nil {
			f.close()
		}
		f = fresh
		w.files[p.Job] = f
		delete(w.removeAt, fileName(p.Job, p.Mark))
	}
	began := time.Now()
	written, err := f.append(p.Parts)
	if err != nil {
		return err
	}
	f.lastAppend = now
	w.log.stats.sync.UpdateSince(began)
	w.log.stats.written.Inc(written)
	if w.onDisk() > maxDiskBytes {
		return errDiskLimit
	}
	if !f.othersRemoved {
		f.othersRemoved = true
		w.removeOthers(p.Job, p.Mark)
	}
	return nil
}

// removeOthers removes a job's files of other tokens.
func (w *writer) removeOthers(job string, token int64) {
	for _, name := range w.log.dir.filesOf(job) {
		if name != fileName(job, token) {
			delete(w.removeAt, name)
			w.log.dir.remove(name)
		}
	}
}

// onDisk returns the total size of the open files in bytes.
func (w *writer) onDisk() int64 {
	total := int64(0)
	for _, f := range w.files {
		total += f.size
	}
	return total
}

// drop closes a job's file and schedules the removal of its files, so that the next owner
// has time to ask for them.
func (w *writer) drop(job string, now time.Time) {
	if f := w.files[job]; f != nil {
		f.close()
		delete(w.files, job)
	}
	for _, name := range w.log.dir.filesOf(job) {
		w.removeAt[name] = now.Add(droppedFileTTL)
	}
}

// closeIdle drops jobs whose files had no new records for idleFileTTL. These are copies of
// other owners' jobs that ended.
func (w *writer) closeIdle(now time.Time) {
	for job, f := range w.files {
		if now.Sub(f.lastAppend) > idleFileTTL {
			w.log.Buffer.Drop(job, f.token)
			w.drop(job, now)
		}
	}
}

// removeDue removes the files whose removal is due.
func (w *writer) removeDue(now time.Time) {
	for name, at := range w.removeAt {
		if now.After(at) {
			delete(w.removeAt, name)
			w.log.dir.remove(name)
		}
	}
}

func (w *writer) close() {
	for _, f := range w.files {
		f.close()
	}
}
