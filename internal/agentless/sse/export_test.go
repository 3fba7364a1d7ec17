package sse

// MaxEventBytes is the limit of one event.
const MaxEventBytes = maxEventBytes
