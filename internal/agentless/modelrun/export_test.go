package modelrun

// HasFastReport reports whether fast engines of a service were reported since the leader started
// to plan.
func HasFastReport(r *Runner, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.fast[service]) > 0 || r.planners[service] != nil && r.planners[service].HasFast()
}
