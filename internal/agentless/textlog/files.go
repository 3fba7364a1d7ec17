package textlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/syndtr/goleveldb/leveldb/journal"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// format is the version of the files' contents; a file of another is passed over.
	format = 1
	suffix = ".texts"
)

var (
	errDiskShare = errors.New("textlog: the texts' share of the disk is used up")
	errForeign   = errors.New("textlog: not a file of this job and format")
)

// header is the first record of a file.
type header struct {
	Format int
	Job    string
	Mark   int64 // of the owner that wrote it
}

// file is an open file; tests put other ones in its place.
type file interface {
	io.WriteCloser
	Sync() error
}

func createFile(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// directory is the folder of the files. A job's files are named by the hash of
// its ID, as IDs are callers' text, and by the owner's mark.
type directory struct {
	path   string
	create func(path string) (file, error)
}

func prefixOf(job string) string {
	sum := sha256.Sum256([]byte(job))
	return hex.EncodeToString(sum[:16]) + "-"
}

// list returns the names of all files, in the order of jobs and marks.
func (d *directory) list() []string {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil // not there yet
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names
}

// of returns the names of a job's files, the oldest mark first.
func (d *directory) of(job string) []string {
	prefix := prefixOf(job)
	var names []string
	for _, name := range d.list() {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names
}

func nameOf(job string, mark int64) string {
	return fmt.Sprintf("%s%020d%s", prefixOf(job), mark, suffix)
}

// remove removes a file. One that stays is found at the next start.
func (d *directory) remove(name string) { _ = os.Remove(filepath.Join(d.path, name)) }

// logFile is the open file of one job. Records are framed and checksummed, so
// that one torn by a loss of power is known.
type logFile struct {
	mark  int64
	file  file
	out   *journal.Writer
	size  int64
	alone bool      // the job's files of other marks were removed
	used  time.Time // when something was last added
}

func (d *directory) open(job string, mark int64) (*logFile, error) {
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		return nil, errors.Wrap(err, "textlog")
	}
	f, err := d.create(filepath.Join(d.path, nameOf(job, mark)))
	if err != nil {
		return nil, errors.Wrap(err, "textlog")
	}
	opened := &logFile{mark: mark, file: f, out: journal.NewWriter(f)}
	if err := opened.record(header{Format: format, Job: job, Mark: mark}); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

// append writes parts as one record and syncs the file.
func (f *logFile) append(parts []batch.TextPart) (written int64, err error) {
	before := f.size
	if err := f.record(parts); err != nil {
		return 0, err
	}
	if err := f.out.Flush(); err != nil {
		return 0, errors.Wrap(err, "textlog: write")
	}
	return f.size - before, errors.Wrap(f.file.Sync(), "textlog: sync")
}

func (f *logFile) record(v any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return errors.Wrap(err, "textlog: encode")
	}
	out, err := f.out.Next()
	if err != nil {
		return errors.Wrap(err, "textlog: write")
	}
	n, err := out.Write(b.Bytes())
	f.size += int64(n)
	return errors.Wrap(err, "textlog: write")
}

func (f *logFile) close() {
	_ = f.out.Close() // what was to last is synced
	_ = f.file.Close()
}

// load joins what a job's files hold. bad is called with the place of each part
// that cannot be used.
func (d *directory) load(job string, bad func(place string, err error)) *batch.Texts {
	texts := batch.NewTexts()
	for _, name := range d.of(job) {
		raw, err := os.ReadFile(filepath.Join(d.path, name))
		if err != nil {
			bad(name, err)
			continue
		}
		read(job, name, raw, texts, bad)
	}
	return texts
}

// dropped takes in what the journal's reader leaves out.
type dropped struct {
	name  string
	texts *batch.Texts
	bad   func(string, error)
}

// Drop implements journal.Dropper.
func (d dropped) Drop(err error) {
	d.texts.Freeze()
	d.bad(d.name, err)
}

// read joins what one file holds to the texts. A text that a file before it holds
// is not continued but begun anew.
func read(job, name string, raw []byte, texts *batch.Texts, bad func(string, error)) {
	texts.Freeze()
	in := journal.NewReader(bytes.NewReader(raw), dropped{name, texts, bad}, false, true)
	for record := 0; ; record++ {
		r, err := in.Next()
		if err != nil {
			return // the end; what was left out was named
		}
		body, err := io.ReadAll(r)
		if err != nil {
			continue // torn, and named by the reader
		}
		place := fmt.Sprintf("%s record %d", name, record)
		if record == 0 {
			if err := checkHeader(job, body); err != nil {
				bad(place, err)
				return
			}
			continue
		}
		var parts []batch.TextPart
		if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&parts); err != nil {
			texts.Freeze()
			bad(place, err)
			continue
		}
		for _, part := range parts {
			texts.Add(part)
		}
	}
}

func checkHeader(job string, body []byte) error {
	var h header
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&h); err != nil {
		return err
	}
	if h.Format != format || h.Job != job {
		return errForeign
	}
	return nil
}
