package fairshare

import (
	"cmp"
	"math"
	"slices"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// claim is the demand of one customer in all processes, or that of the customers whom one
// process does not list.
type claim struct {
	weight float64
	demand float64
	share  float64 // slots that it gets
}

// part is the demand that one process reports for a claim.
type part struct {
	process  int // index of the report
	claim    int
	demand   int
	customer string
	rest     bool
}

// division is the state of one call of Divide.
type division struct {
	reports []Report
	claims  []claim
	parts   []part
	total   int
}

// Divide divides a service's slots between the processes that reported demand for it, each of
// which appears once. The division is max-min fair between customers by weight: a customer that
// asks for less than the level gets all it asks for, and what it leaves is lent to the others.
// The slots of a customer are divided between processes by its demand there. Each process gets at
// least one slot, so that more than capacity slots are allotted if there are more processes than
// slots.
//
// While the slots suffice, each process also gets all slots that no process asks for. They are
// lent to several processes at once: a process that had to ask first would let its requests wait
// for an interval beside idle slots. Endpoints refuse what exceeds their slots, and such a refusal
// leads to a new division.
func Divide(capacity int, reports []Report) map[string]Allotment {
	return divide(capacity, reports, 0)
}

// divide is Divide in a phase from 0 to 1, see limits.
func divide(capacity int, reports []Report, phase float64) map[string]Allotment {
	d := &division{reports: reports}
	d.collect()
	allotments := make(map[string]Allotment, len(reports))
	if d.total <= capacity {
		for i := range reports {
			r := &reports[i]
			allotments[r.Process] = Allotment{Slots: r.limited(r.total() + capacity - d.total), Processes: len(reports)}
		}
		return allotments
	}
	level := d.fill(float64(capacity))
	slots := apportion(capacity, d.quotas())
	customers := d.limits(phase)
	for i := range reports {
		allotments[reports[i].Process] = Allotment{Slots: reports[i].limited(slots[i]), Customers: customers[i], Level: level, Processes: len(reports)}
	}
	return allotments
}

// collect sums the reported demands by customer.
func (d *division) collect() {
	parts := 0
	for i := range d.reports {
		parts += len(d.reports[i].Demands) + 1
	}
	d.parts = make([]part, 0, parts)
	d.claims = make([]claim, 0, parts)
	byCustomer := make(map[string]int, parts)
	for i := range d.reports {
		r := &d.reports[i]
		for k := range r.Demands {
			one := &r.Demands[k]
			if one.total() == 0 {
				continue
			}
			at, found := byCustomer[one.Customer]
			if !found {
				at = len(d.claims)
				byCustomer[one.Customer] = at
				d.claims = append(d.claims, claim{})
			}
			d.claims[at].weight = max(d.claims[at].weight, usableWeight(one.Weight))
			d.add(part{process: i, claim: at, customer: one.Customer, demand: one.total()})
		}
		if r.Rest > 0 {
			d.claims = append(d.claims, claim{weight: restWeight(r)})
			d.add(part{process: i, claim: len(d.claims) - 1, demand: r.Rest, rest: true})
		}
	}
}

// add adds a part to its claim.
func (d *division) add(p part) {
	d.parts = append(d.parts, p)
	d.claims[p.claim].demand += float64(p.demand)
	d.total += p.demand
}

// limited returns the slots of a process: at least one, and not more than it can use.
func (r *Report) limited(slots int) int {
	if r.Slots > 0 {
		slots = min(slots, r.Slots)
	}
	return max(1, slots)
}

// restWeight returns the weight of the customers that a report does not list. None of them asks
// for more than the last one that is listed, so they are at least this many. Their weights are not
// known and count as 1.
func restWeight(r *Report) float64 {
	if len(r.Demands) == 0 {
		return 1
	}
	smallest := max(1, r.Demands[len(r.Demands)-1].total())
	return math.Ceil(float64(r.Rest) / float64(smallest))
}

// fill gives each claim its share of the capacity, which is less than the sum of the demands, and
// returns the level.
func (d *division) fill(capacity float64) float64 {
	order := make([]int, len(d.claims))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &d.claims[a], &d.claims[b]
		return cmp.Compare(x.demand*y.weight, y.demand*x.weight)
	})
	// Sums from the end: subtracting from the total would leave rounding errors that are larger
	// than the last weights.
	weights := make([]float64, len(order)+1)
	for at := len(order) - 1; at >= 0; at-- {
		weights[at] = weights[at+1] + d.claims[order[at]].weight
	}
	level := 0.0
	for at, i := range order {
		c := &d.claims[i]
		level = capacity / weights[at]
		if c.demand > level*c.weight {
			for _, limited := range order[at:] {
				d.claims[limited].share = level * d.claims[limited].weight
			}
			break
		}
		c.share = c.demand
		capacity -= c.demand
	}
	return level
}

// shareOf returns the part of a claim's share that goes to one process.
func (d *division) shareOf(p *part) float64 {
	c := &d.claims[p.claim]
	return c.share * float64(p.demand) / c.demand
}

// quotas returns the sum of the shares of each process.
func (d *division) quotas() []float64 {
	quotas := make([]float64, len(d.reports))
	for i := range d.parts {
		quotas[d.parts[i].process] += d.shareOf(&d.parts[i])
	}
	return quotas
}

// roundingError is the largest sum of rounding errors of a share that is no fraction of a slot.
const roundingError = 1e-6

// minCustomerSlots is the least number of slots that a customer may use in all processes together.
// Reports are older than most requests, so a customer with one slot leaves it idle in part: with
// a limit of 1, a customer that asks for twelve times as much as 70 others got 300 of the 500
// requests that these left unused, with 2 it got 477 (simulation_test.go, 6.5 requests per second).
const minCustomerSlots = 2

// limits returns by process the limits of the customers that get less than they ask for. The limits
// of one customer add up to its share, rounded, or to minCustomerSlots. Where that is less than the
// number of its processes, the slots go to different processes from phase to phase (systematic
// sampling): with one slot in each process, a customer with requests in all of 17 processes would
// get 17 of 12 slots.
func (d *division) limits(phase float64) []map[string]int {
	limits := make([]map[string]int, len(d.reports))
	sums := make([]float64, len(d.claims)) // of the offset and the parts so far; 0: none yet
	for i := range d.parts {
		p := &d.parts[i]
		c := &d.claims[p.claim]
		if p.rest || c.share >= c.demand {
			continue
		}
		if sums[p.claim] == 0 {
			sums[p.claim] = offset(phase, p.customer) + roundingError
		}
		before := int(sums[p.claim])
		sums[p.claim] += max(minCustomerSlots, c.share) * float64(p.demand) / c.demand
		slots := int(sums[p.claim]) - before
		if slots >= p.demand {
			continue
		}
		if limits[p.process] == nil {
			limits[p.process] = make(map[string]int, len(d.reports[p.process].Demands))
		}
		limits[p.process][p.customer] = slots
	}
	return limits
}

// offset returns where the sampling of a customer's slots starts, from 0 to 1. It differs between
// customers, so that not all of them have their slots in the same process.
func offset(phase float64, customer string) float64 {
	_, fraction := math.Modf(phase + float64(rendezvous.Key(customer)>>11)/(1<<53))
	return fraction
}

// apportion rounds quotas to whole numbers whose sum is total: each is rounded down, and the
// remaining units go to the largest fractions.
func apportion(total int, quotas []float64) []int {
	whole := make([]int, len(quotas))
	order := make([]int, len(quotas))
	fractions := make([]float64, len(quotas))
	for i, q := range quotas {
		whole[i] = int(q + roundingError)
		fractions[i] = q - float64(whole[i])
		order[i] = i
		total -= whole[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(fractions[b], fractions[a]) })
	for _, i := range order[:min(max(0, total), len(order))] {
		whole[i]++
	}
	return whole
}
