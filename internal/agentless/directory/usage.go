package directory

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// Usage describes how this process uses a service.
type Usage struct {
	endpoints.Usage
	FullAt time.Time // when an endpoint last refused a request because it was full; zero: never
}

// Usage returns how this process uses a service.
func (d *Directory) Usage(service string) Usage {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Usage: s.set.Usage(), FullAt: s.fullAt}
}
