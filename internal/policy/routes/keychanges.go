package routes

import (
	"slices"
	"strings"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
)

// KeyChange counts the keys of a customer that a new declaration adds and removes.
type KeyChange struct {
	Customer string
	Added    int
	Removed  int
}

// KeyChanges returns how the keys of each customer differ between two declarations,
// sorted by customer. Customers without differences are left out.
func KeyChanges(before, after *deployment.Declaration) []KeyChange {
	var list []KeyChange
	old := keysByCustomer(before)
	for name, current := range keysByCustomer(after) {
		c := KeyChange{Customer: name, Added: countMissing(current, old[name]), Removed: countMissing(old[name], current)}
		if c.Added+c.Removed > 0 {
			list = append(list, c)
		}
		delete(old, name)
	}
	for name, removed := range old {
		list = append(list, KeyChange{Customer: name, Removed: len(removed)})
	}
	slices.SortFunc(list, func(a, b KeyChange) int { return strings.Compare(a.Customer, b.Customer) })
	return list
}

// keysByCustomer returns the declared keys by the customer's name.
func keysByCustomer(d *deployment.Declaration) map[string][]keys.Digest {
	byName := make(map[string][]keys.Digest, len(d.Customers))
	for i := range d.Customers {
		byName[d.Customers[i].Name] = d.Customers[i].Keys
	}
	return byName
}

// countMissing returns how many keys of the list others does not contain.
func countMissing(list, others []keys.Digest) int {
	n := 0
	for _, k := range list {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
