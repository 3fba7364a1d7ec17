// Package keys maps API keys to their owners. It does no I/O.
//
// Keys are stored and compared as digests, so that a dump of the process's memory
// contains no key and the time of a look-up does not reveal how much of a guessed key
// was right.
package keys

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Hash returns the digest of a key.
func Hash(key string) Digest { return sha256.Sum256([]byte(key)) }

// ErrMalformed is returned by Parse for text that is not a digest in hexadecimal.
var ErrMalformed = errors.New("keys: malformed digest")

// Parse decodes a digest from hexadecimal.
func Parse(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return Digest{}, ErrMalformed
	}
	copy(d[:], raw)
	return d, nil
}

// Index maps key digests to the owners of the keys. It is safe for concurrent use once
// no more keys are added.
type Index[T any] struct {
	owners map[Digest]T
}

// NewIndex returns an empty index with room for size keys.
func NewIndex[T any](size int) *Index[T] { return &Index[T]{owners: make(map[Digest]T, size)} }

// Add assigns a key to an owner unless it has one already. It returns the owner that
// the key has now, and whether the key was added.
func (x *Index[T]) Add(key Digest, owner T) (holder T, added bool) {
	if existing, found := x.owners[key]; found {
		return existing, false
	}
	x.owners[key] = owner
	return owner, true
}

// Owner returns the owner of a key, and whether the key is known. The empty key has no
// owner. A nil index knows no keys.
func (x *Index[T]) Owner(key string) (owner T, found bool) {
	if x == nil || key == "" {
		return owner, false
	}
	owner, found = x.owners[Hash(key)]
	return owner, found
}

// Len returns the number of keys.
func (x *Index[T]) Len() int {
	if x == nil {
		return 0
	}
	return len(x.owners)
}
