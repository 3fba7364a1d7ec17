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
	// formatVersion is the version of the file format; files of other versions are
	// ignored.
	formatVersion = 1
	suffix        = ".texts"
)

var (
	errDiskLimit   = errors.New("textlog: the limit for the size of all files is reached")
	errForeignFile = errors.New("textlog: the file belongs to another job or has another format")
)

// header is the first record of a file. It is encoded with gob.
type header struct {
	Format int
	Job    string
	Mark   int64 // fencing token of the owner that wrote the file
}

// file is an open file. Tests substitute their own implementations.
type file interface {
	io.WriteCloser
	Sync() error
}

func createFile(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// directory is the directory of the files. The name of a job's file consists of a hash of
// the job's ID, because callers choose IDs freely, and of the owner's fencing token.
type directory struct {
	path   string
	create func(path string) (file, error)
}

func fileNamePrefix(job string) string {
	sum := sha256.Sum256([]byte(job))
	return hex.EncodeToString(sum[:16]) + "-"
}

// list returns the names of all files, sorted by job and token.
func (d *directory) list() []string {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil // the directory does not exist yet
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

// filesOf returns the names of a job's files, sorted by token.
func (d *directory) filesOf(job string) []string {
	prefix := fileNamePrefix(job)
	var names []string
	for _, name := range d.list() {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names
}

func fileName(job string, token int64) string {
	return fmt.Sprintf("%s%020d%s", fileNamePrefix(job), token, suffix)
}

// remove removes a file. If that fails, the next start of the process finds the file
// and schedules its removal again.
func (d *directory) remove(name string) { _ = os.Remove(filepath.Join(d.path, name)) }

// logFile is the open file of one job. Records are framed and checksummed, so that
// records torn by a power failure are detected.
type logFile struct {
	token         int64 // fencing token of the job's owner
	file          file
	out           *journal.Writer
	size          int64
	othersRemoved bool      // whether the job's files of other tokens were removed
	lastAppend    time.Time // when a record was last appended
}

// open creates the file of a job and token and writes its header.
func (d *directory) open(job string, token int64) (*logFile, error) {
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		return nil, errors.Wrap(err, "textlog")
	}
	f, err := d.create(filepath.Join(d.path, fileName(job, token)))
	if err != nil {
		return nil, errors.Wrap(err, "textlog")
	}
	opened := &logFile{token: token, file: f, out: journal.NewWriter(f)}
	if err := opened.writeRecord(header{Format: formatVersion, Job: job, Mark: token}); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

// append writes parts as one record and syncs the file. It returns the number of
// bytes written.
func (f *logFile) append(parts []batch.TextPart) (written int64, err error) {
	before := f.size
	if err := f.writeRecord(parts); err != nil {
		return 0, err
	}
	if err := f.out.Flush(); err != nil {
		return 0, errors.Wrap(err, "textlog: write")
	}
	return f.size - before, errors.Wrap(f.file.Sync(), "textlog: sync")
}

// writeRecord encodes v with gob and writes it as one record.
func (f *logFile) writeRecord(v any) error {
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
	_ = f.out.Close() // everything that must be durable is synced already
	_ = f.file.Close()
}

// load returns the texts that a job's files hold together. It calls reportBad with the
// place of each part that cannot be used.
func (d *directory) load(job string, reportBad func(place string, err error)) *batch.Texts {
	texts := batch.NewTexts()
	for _, name := range d.filesOf(job) {
		raw, err := os.ReadFile(filepath.Join(d.path, name))
		if err != nil {
			reportBad(name, err)
			continue
		}
		readFile(job, name, raw, texts, reportBad)
	}
	return texts
}

// dropHandler is called by the journal's reader for the data that it skips.
type dropHandler struct {
	name      string
	texts     *batch.Texts
	reportBad func(string, error)
}

// Drop implements journal.Dropper.
func (d dropHandler) Drop(err error) {
	d.texts.Freeze()
	d.reportBad(d.name, err)
}

// readFile adds the contents of one file to texts. It freezes the texts of earlier
// files first: parts of this file don't continue them, but may restart them.
func readFile(job, name string, raw []byte, texts *batch.Texts, reportBad func(string, error)) {
	texts.Freeze()
	in := journal.NewReader(bytes.NewReader(raw), dropHandler{name, texts, reportBad}, false, true)
	for record := 0; ; record++ {
		r, err := in.Next()
		if err != nil {
			return // end of the file; skipped data was reported by dropHandler
		}
		body, err := io.ReadAll(r)
		if err != nil {
			continue // torn record, which the reader reported to dropHandler
		}
		place := fmt.Sprintf("%s record %d", name, record)
		if record == 0 {
			if err := checkHeader(job, body); err != nil {
				reportBad(place, err)
				return
			}
			continue
		}
		var parts []batch.TextPart
		if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&parts); err != nil {
			texts.Freeze()
			reportBad(place, err)
			continue
		}
		for _, part := range parts {
			texts.Add(part)
		}
	}
}

// checkHeader returns an error unless body is the header of a file of this job in the
// current format.
func checkHeader(job string, body []byte) error {
	var h header
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&h); err != nil {
		return err
	}
	if h.Format != formatVersion || h.Job != job {
		return errForeignFile
	}
	return nil
}
