package textlog

import (
	"io"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// File is the interface of the open files that tests substitute for those on disk.
type File interface {
	io.WriteCloser
	Sync() error
}

// SetCreate makes the log create its files with create.
func (l *Log) SetCreate(create func(path string) (File, error)) {
	l.dir.create = func(path string) (file, error) { return create(path) }
}

// Read returns the texts that the raw bytes of a job's file hold, and the places of
// the records that could not be used.
func Read(job string, raw []byte) (texts *batch.Texts, bad []string) {
	texts = batch.NewTexts()
	readFile(job, "file", raw, texts, func(place string, _ error) { bad = append(bad, place) })
	return texts, bad
}
