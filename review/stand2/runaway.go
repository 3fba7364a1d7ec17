package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// chunkBytes is the size of a write of an answer without end, and chunkPause the time between
	// two: about 0.5 MB/s.
	chunkBytes = 5 << 10
	chunkPause = 10 * time.Millisecond
)

// runAway answers with lines without end that are no events, until the caller closes the connection.
func (e *engine) runAway(w http.ResponseWriter, id string) {
	e.fleet.record.add("engine %s: its answer to %s has no end", e.id, id)
	sent, n := 0, int64(0)
	var chunk []byte
	for {
		for chunk = chunk[:0]; len(chunk) < chunkBytes; {
			n++
			chunk = append(strconv.AppendInt(chunk, n, 36), '\n')
		}
		time.Sleep(chunkPause)
		k, err := w.Write(chunk)
		sent += k
		if err != nil {
			e.fleet.record.add("engine %s: the caller of %s has closed its connection after %s", e.id, id, fmt.Sprintf("%.1f MB", float64(sent)/(1<<20)))
			return
		}
	}
}
