// Package keys finds whose API key a request bears. It does no input or output.
//
// Keys are held and compared as digests: a copy of the process's memory shows no key,
// and how long a look-up takes tells nothing of how much of a key was right.
package keys

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest stands for a key.
type Digest [sha256.Size]byte

// Of returns a key's digest.
func Hash(key string) Digest { return sha256.Sum256([]byte(key)) }

// ErrMalformed is returned for text that is no digest in hexadecimal.
var ErrMalformed = errors.New("keys: malformed digest")

// Parse reads a digest in hexadecimal.
func Parse(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return Digest{}, ErrMalformed
	}
	copy(d[:], raw)
	return d, nil
}

// Ring is a set of keys with their owners. Once filled it is safe for concurrent use.
type Index[T any] struct {
	owners map[Digest]T
}

// NewRing returns an empty ring with room for so many keys.
func NewIndex[T any](size int) *Index[T] { return &Index[T]{owners: make(map[Digest]T, size)} }

// Add gives a key to an owner unless it has one already, and returns whose it is.
func (r *Index[T]) Add(key Digest, owner T) (holder T, added bool) {
	if standing, found := r.owners[key]; found {
		return standing, false
	}
	r.owners[key] = owner
	return owner, true
}

// Owner returns the owner of a key. The empty key is nobody's.
func (r *Index[T]) Owner(key string) (owner T, found bool) {
	if r == nil || key == "" {
		return owner, false
	}
	owner, found = r.owners[Hash(key)]
	return owner, found
}

// Len returns how many keys there are.
func (r *Index[T]) Len() int {
	if r == nil {
		return 0
	}
	return len(r.owners)
}
