package textlog_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// validFile returns the bytes of a file with two texts, one of them complete.
func validFile(t testing.TB) []byte {
	dir := t.TempDir()
	registry := metrics.NewRegistry()
	l := textlog.New(dir, discardLogger(), registry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	l.Begin("job", 7, batch.NewTexts())
	for id := int64(1); id <= 40; id++ {
		l.Event("job", 7, "i0", id, []byte(fmt.Sprint("event ", id)), 3)
		l.Event("job", 7, "i1", id, []byte(fmt.Sprint("other ", id)), 3)
	}
	l.Complete("job", 7, "i1", 40)
	for metrics.GetOrRegisterTimer("texts.sync", registry).Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(names) != 1 {
		t.Fatal(names, err)
	}
	raw, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// FuzzRead checks that reading a torn, foreign or overwritten file yields texts without
// gaps or nothing, and never panics.
func FuzzRead(f *testing.F) {
	valid := validFile(f)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add(append(append([]byte{}, valid[:100]...), valid[60:]...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		texts, _ := textlog.Read("job", raw)
		for _, part := range texts.Parts() {
			if part.First < 1 || len(part.Events) != len(part.Versions) {
				t.Fatalf("part of %s from %d with %d events and %d versions", part.Item, part.First, len(part.Events), len(part.Versions))
			}
		}
		batch.NewJob(spec(3), nil).ResumeTexts(texts)
	})
}
