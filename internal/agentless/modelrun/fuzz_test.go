package modelrun_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/modelrun"
)

// FuzzFast checks that any report of fast engines is used or ignored without a panic: another
// release may have sent it.
func FuzzFast(f *testing.F) {
	var raw bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(modelrun.FastArgs{From: "b", Model: "m", Engines: []string{"e0", ""}}); err != nil {
		f.Fatal(err)
	}
	f.Add(raw.Bytes())
	f.Add(raw.Bytes()[:raw.Len()-3])
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var args modelrun.FastArgs
		if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&args); err == nil {
			(&modelrun.Runner{Directory: directory.New("self", "", nil)}).RecordFast(args)
		}
	})
}
