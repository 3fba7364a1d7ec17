package batch

// ListedItems returns the items whose results are durable, in the order of their positions,
// from a position on.
func (j *Job) ListedItems(from int) []string {
	var items []string
	for _, r := range j.DurableResults(from) {
		items = append(items, r.Item)
	}
	return items
}

// NewStandbyJob starts a job that another process owns, to generate what is not listed
// there yet. Its owner listed these items.
func NewStandbyJob(spec *Spec, listed []string) *Job {
	durable := make([]Result, len(listed))
	for i, item := range listed {
		durable[i] = Result{Item: item}
	}
	return NewJob(spec, durable)
}

// MergeStandby takes over what a standby made of the same job meanwhile: results of items that
// are not decided here, and the texts under way. It returns how many items these are.
func (j *Job) MergeStandby(from *Job) int {
	items := 0
	for _, r := range from.decided[from.listed:] {
		if i, found := j.byID[r.Item]; found && j.items[i].phase == waiting && j.usable(r) {
			j.end(i, r)
			items++
		}
	}
	resumed, _ := j.ResumeTexts(from.Texts())
	return items + resumed
}

// usable tells whether a result may be listed as it is.
func (j *Job) usable(r Result) bool { return r.State == Aborted || j.acceptsVersions(r.Versions) }
