package claims

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// errUnreadable is the error for a record of the service that can't be decoded.
var errUnreadable = errors.New("claims: unreadable record")

// state is the state of a claim.
type state string

// The states of a claim. Stored entries have the states claimed, done, notRun or
// unknown.
const (
	claimed state = "c" // waiting for its commit here, or left by an earlier owner without a result
	running state = "r" // dispatched by this process; stored as claimed
	done    state = "d"
	notRun  state = "n"
	unknown state = "u"
)

// entry is the stored form of a claim.
type entry struct {
	Key         Key     `json:"k"`
	Epoch       int64   `json:"e"` // epoch of the owner that made the claim
	Fingerprint uint64  `json:"f"`
	State       state   `json:"s"`
	Expires     int64   `json:"x"` // Unix milliseconds
	Answer      *stored `json:"a,omitempty"`
}

// stored is an answer that is stored for replay. If Kept is false, the request ran, but
// the body of its answer was too long to store.
type stored struct {
	Kept        bool   `json:"k"`
	Status      int    `json:"s"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

// sealed identifies a sealed bucket. The epoch is part of the bucket's key, so that only
// the owner with that epoch ever writes it.
type sealed struct {
	Epoch   int64 `json:"e"`
	Number  int64 `json:"n"`
	Expires int64 `json:"x"` // when its last entry expires, in Unix milliseconds
}

// head is the record that every commit swaps. Writer, Epoch and Commit identify the
// commit, so that its writer can find out whether it took effect if the answer was
// lost.
type head struct {
	Writer  string   `json:"w"`
	Epoch   int64    `json:"e"` // only increases
	Commit  int64    `json:"c"`
	Sealed  []sealed `json:"b,omitempty"` // oldest first
	Entries []entry  `json:"r,omitempty"` // newest entries, which take precedence over those in buckets
}

// MarshalText implements encoding.TextMarshaler with the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, k[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return errUnreadable
	}
	_, err := hex.Decode(k[:], text)
	return err
}

func decodeHead(r Record) (head, error) {
	var h head
	if r.Revision == 0 {
		return h, nil
	}
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return h, errors.Wrapf(errUnreadable, "%s: %v", r.Key, err)
	}
	return h, nil
}

func decodeBucket(r Record) ([]entry, error) {
	var all []entry
	if r.Revision == 0 {
		return nil, errors.Wrapf(errUnreadable, "%s: listed but absent", r.Key)
	}
	if err := json.Unmarshal(r.Value, &all); err != nil {
		return nil, errors.Wrapf(errUnreadable, "%s: %v", r.Key, err)
	}
	return all, nil
}

// mustEncode returns v as JSON. It panics on failure, which can't happen with the types
// above.
func mustEncode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}

// entrySize returns an upper bound of the encoded size of an entry.
func entrySize(e entry) int {
	const fixed = 160
	if e.Answer == nil {
		return fixed
	}
	return fixed + 64 + len(e.Answer.ContentType) + len(e.Answer.Body)*4/3
}

func (p *Partition) headKey() string { return p.config.Prefix + "/head" }

func (p *Partition) bucketKey(s sealed) string {
	return fmt.Sprintf("%s/%d-%d", p.config.Prefix, s.Epoch, s.Number)
}

// newStored returns the stored form of an answer.
func (p *Partition) newStored(a wire.Answer) *stored {
	if len(a.Body) > p.config.MaxAnswerBytes {
		return &stored{}
	}
	return &stored{Kept: true, Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

func fromMilli(ms int64) time.Time { return time.UnixMilli(ms) }
