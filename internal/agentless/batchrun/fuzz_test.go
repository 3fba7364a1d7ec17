package batchrun_test

import (
	"testing"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// FuzzUnpack checks that texts from another process are decoded or rejected without a panic.
func FuzzUnpack(f *testing.F) {
	raw, err := batchrun.Pack([]batch.TextPart{{Item: "i0", First: 1, Events: [][]byte{[]byte("e1")}, Versions: []int64{3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)-3])
	f.Add([]byte("torn"))
	f.Fuzz(func(_ *testing.T, raw []byte) { _ = batchrun.Unpack(raw) })
}

// FuzzRecords checks that any value under a job's keys in the store is decoded or rejected
// without a panic: another release may have written it.
func FuzzRecords(f *testing.F) {
	raw, err := batchrun.EncodeRecord("worker", 3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, raw []byte) { batchrun.DecodeRecords(raw) })
}
