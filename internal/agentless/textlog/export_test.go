package textlog

import "io"

// File is an open file as tests put it in the place of the disk's.
type File interface {
	io.WriteCloser
	Sync() error
}

// SetCreate has the log open its files by create.
func (l *Log) SetCreate(create func(path string) (File, error)) {
	l.dir.create = func(path string) (file, error) { return create(path) }
}
