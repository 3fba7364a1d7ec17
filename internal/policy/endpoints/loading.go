package endpoints

import "time"

// weightLoad describes weights that an endpoint is loading.
type weightLoad struct {
	model   string
	version int64
	until   time.Time
}

// assumedLoadDuration is how long a load is assumed to take. It takes 0.9 s if few
// endpoints load at once. If it takes longer, the endpoint refuses requests meanwhile.
const assumedLoadDuration = time.Second

// MarkLoading records that the endpoint was ordered to load weights. Until it is done
// the endpoint gets no requests for that model. Without this information an owner of
// items finds out about each load only through two or three refusals.
func (e *State) MarkLoading(now time.Time, model string, version int64) {
	e.pendingLoad = &weightLoad{model: model, version: version, until: now.Add(assumedLoadDuration)}
}

// isLoading reports whether the endpoint is loading weights of the request's model.
func (e *State) isLoading(r *Request) bool {
	l := e.pendingLoad
	return l != nil && l.model == r.Model && r.Now.Before(l.until) && e.Versions[l.model] < l.version
}
