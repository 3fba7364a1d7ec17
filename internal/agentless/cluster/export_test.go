package cluster

import "siskinloom.example/siskinloom/internal/kv"

// Listing has a topic tell a whole listing.
func Listing(t *Topic, page kv.Page) { t.listing(page) }

// Tell has a topic tell a change.
func Tell(t *Topic, c kv.Change) { t.tell(c) }

// Widen has a topic be listed anew with more parts.
func Widen(t *Topic) { t.widen() }
