package batch

// ListedItems returns the items whose results are durable, in the order of their positions
// and starting at position from.
func (j *Job) ListedItems(from int) []string {
	var items []string
	for _, r := range j.DurableResults(from) {
		items = append(items, r.Item)
	}
	return items
}

// NewStandbyJob returns a job that another process owns, for a standby that generates the
// items that the owner has not listed yet. listed are the items that the owner has listed.
func NewStandbyJob(spec *Spec, listed []string) *Job {
	durable := make([]Result, len(listed))
	for i, item := range listed {
		durable[i] = Result{Item: item}
	}
	return NewJob(spec, durable)
}

// MergeStandby takes over what a standby generated of the same job: the results of items
// that wait here, and the partial texts. It returns the number of items taken over.
func (j *Job) MergeStandby(standby *Job) int {
	items := 0
	for _, r := range standby.decided[standby.durableCount:] {
		if i, found := j.byID[r.Item]; found && j.items[i].phase == waiting && j.usable(r) {
			j.finish(i, r)
			items++
		}
	}
	resumed, _ := j.ResumeTexts(standby.Texts())
	return items + resumed
}

// usable reports whether the job may list a result of a standby.
func (j *Job) usable(r Result) bool { return r.State == Aborted || j.acceptsVersions(r.Versions) }
