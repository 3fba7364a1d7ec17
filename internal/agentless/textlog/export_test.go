package textlog

import (
	"io"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// File is an open file as tests put it in the place of the disk's.
type File interface {
	io.WriteCloser
	Sync() error
}

// SetCreate has the log open its files by create.
func (l *Log) SetCreate(create func(path string) (File, error)) {
	l.dir.create = func(path string) (file, error) { return create(path) }
}

// Read joins what the raw bytes of a job's file hold, and returns the places of what
// could not be used.
func Read(job string, raw []byte) (texts *batch.Texts, bad []string) {
	texts = batch.NewTexts()
	read(job, "file", raw, texts, func(place string, _ error) { bad = append(bad, place) })
	return texts, bad
}
