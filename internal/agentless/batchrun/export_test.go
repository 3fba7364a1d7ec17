package batchrun

import "siskinloom.example/siskinloom/internal/kv"

// Distrusted tells whether a process was found silent lately.
func (d *Desk) Distrusted(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.silent[name]
	return found
}

// Unpack reads texts as they go between processes.
func Unpack(raw []byte) error {
	_, err := unpack(raw)
	return err
}

// Pack writes texts as they go between processes.
var Pack = pack

// DecodeRecords reads a value of the store as each of its kinds.
func DecodeRecords(raw []byte) {
	var record jobRecord
	_ = decode(raw, &record)
	var mark todoMark
	_ = decode(raw, &mark)
	_, _ = joinSpec([]kv.Record{{Value: raw}}, 1)
	_, _ = joinDone([]kv.Record{{Value: raw}})
}

// EncodeRecord returns a job's record as the store holds it.
func EncodeRecord(owner string, total int) ([]byte, error) {
	return encode(jobRecord{Owner: owner, Model: "m", Total: total, Parts: 1})
}
