package routes

import (
	"slices"
	"strings"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// KeyChange is how many keys of a customer a declaration brought and took away.
type KeyChange struct {
	Customer string
	Added    int
	Removed  int
}

// KeyChanges returns what a declaration changed of the keys that one before it had, sorted
// by customer.
func KeyChanges(before, after *deployment.Declaration) []KeyChange {
	var list []KeyChange
	held := keysByCustomer(before)
	for name, now := range keysByCustomer(after) {
		c := KeyChange{Customer: name, Added: lacking(now, held[name]), Removed: lacking(held[name], now)}
		if c.Added+c.Removed > 0 {
			list = append(list, c)
		}
		delete(held, name)
	}
	for name, gone := range held {
		list = append(list, KeyChange{Customer: name, Removed: len(gone)})
	}
	slices.SortFunc(list, func(a, b KeyChange) int { return strings.Compare(a.Customer, b.Customer) })
	return list
}

func keysByCustomer(d *deployment.Declaration) map[string][]keys.Digest {
	held := make(map[string][]keys.Digest, len(d.Customers))
	for i := range d.Customers {
		held[d.Customers[i].Name] = d.Customers[i].Keys
	}
	return held
}

// lacking returns how many of some keys others lack.
func lacking(some, others []keys.Digest) int {
	n := 0
	for _, k := range some {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
