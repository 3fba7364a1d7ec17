package batch

import "sort"

// spareGroups returns the groups that the trainer can do without: as many as it
// does not wait for, those whose longest item is estimated longest. Groups in the
// first half of the job may be carried over from an earlier one, and those are
// always waited for.
func spareGroups(spec *Spec) map[string]bool {
	type ranked struct {
		name    string
		longest int
	}
	var groups []ranked
	at := map[string]int{}
	for _, item := range spec.Items {
		k, found := at[item.Group]
		if !found {
			k = len(groups)
			at[item.Group] = k
			groups = append(groups, ranked{name: item.Group})
		}
		groups[k].longest = max(groups[k].longest, item.LengthHint)
	}
	spare := map[string]bool{}
	if spec.WantGroups <= 0 || spec.WantGroups >= len(groups) {
		return spare
	}
	later := groups[spec.WantGroups/2:]
	sort.SliceStable(later, func(a, b int) bool { return later[a].longest > later[b].longest })
	for _, g := range later[:min(len(later), len(groups)-spec.WantGroups)] {
		spare[g.name] = true
	}
	return spare
}
