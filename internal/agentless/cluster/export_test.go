package cluster

import "siskinloom.example/siskinloom/internal/kv"

// ApplyListing applies a complete listing to a topic.
func ApplyListing(t *Topic, page kv.Page) { t.applyListing(page) }

// Apply applies a change to a topic.
func Apply(t *Topic, c kv.Change) { t.apply(c) }

// ResetForScopes makes a topic be listed again with more scopes.
func ResetForScopes(t *Topic) { t.resetForScopes() }
