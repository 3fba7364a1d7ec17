package config

import (
	"strconv"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// readTurn decides when an entry is one of those that read the service.
//
// The record holds the declarations and the newest part of the audit trail, up to
// hundreds of kilobytes. If the same few entries read it every second, that would
// exceed their budget for all control work. Therefore the entries take turns: the
// service gets the same number of reads, and each entry makes few. Clock skew
// shifts some turns but does not change the mean rate.
type readTurn struct {
	key    string
	self   string
	ids    []string
	hashes []uint64

	slot     int64 // the time slot decided last
	selected bool  // whether the entry reads in it
}

func newReadTurn(deployment, self string, entries []Peer) readTurn {
	t := readTurn{key: "config/" + deployment + "/", self: self, slot: -1}
	for _, e := range entries {
		t.ids = append(t.ids, e.ID)
		t.hashes = append(t.hashes, rendezvous.Key(e.ID))
	}
	return t
}

// active reports whether the entry is among the n that read now. Time is divided into
// slots of the given length, and each slot has another n entries.
func (t *readTurn) active(now time.Time, length time.Duration, n int) bool {
	slot := now.UnixNano() / int64(length)
	if slot == t.slot {
		return t.selected
	}
	t.slot, t.selected = slot, false
	for _, i := range rendezvous.Ranked(rendezvous.Key(t.key+strconv.FormatInt(slot, 10)), t.hashes, n) {
		t.selected = t.selected || t.ids[i] == t.self
	}
	return t.selected
}
