package batch

import "sort"

// spareGroups returns the groups that the trainer does not need: as many as the job has
// beyond WantGroups, and those whose longest item has the highest estimate. The first
// WantGroups/2 groups may be carried over from an earlier step and are never spare.
func spareGroups(spec *Spec) map[string]bool {
	type ranked struct {
		name    string
		longest int
	}
	var groups []ranked
	indexOf := map[string]int{}
	for _, item := range spec.Items {
		k, found := indexOf[item.Group]
		if !found {
			k = len(groups)
			indexOf[item.Group] = k
			groups = append(groups, ranked{name: item.Group})
		}
		groups[k].longest = max(groups[k].longest, item.LengthHint)
	}
	spare := map[string]bool{}
	if spec.WantGroups <= 0 || spec.WantGroups >= len(groups) {
		return spare
	}
	eligible := groups[spec.WantGroups/2:]
	sort.SliceStable(eligible, func(a, b int) bool { return eligible[a].longest > eligible[b].longest })
	for _, g := range eligible[:min(len(eligible), len(groups)-spec.WantGroups)] {
		spare[g.name] = true
	}
	return spare
}
