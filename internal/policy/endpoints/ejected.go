package endpoints

import "time"

// Ejected reports whether the endpoint gets no requests because requests to it failed. An
// endpoint that refused a request as full is not ejected.
func (e *State) Ejected(now time.Time) bool { return e.failures > 0 && now.Before(e.unavailableUntil) }
