package loadreport

import (
	"cmp"
	"maps"
	"slices"
)

// Bound sorts the report's lists, the busiest elements first, and shortens them to their limits.
func (r *Report) Bound() {
	r.Speeds.bound()
	r.Queues.bound()
	r.Shares.bound()
	r.Suspects.bound()
}

// shorten returns the first elements of a sorted list and the number of the others. The result is
// never nil, so that its JSON is an array.
func shorten[T any](list []T, limit int) (kept []T, omitted int) {
	if len(list) <= limit {
		return append(make([]T, 0, len(list)), list...), 0
	}
	return list[:limit], len(list) - limit
}

func (s *Speeds) bound() {
	type place struct{ service, inFlight int }
	var all []place
	for i := range s.Services {
		list := s.Services[i].Endpoints
		slices.SortFunc(list, func(a, b EndpointSpeed) int {
			return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.ID, b.ID))
		})
		for _, e := range list {
			all = append(all, place{service: i, inFlight: e.InFlight})
		}
	}
	slices.SortStableFunc(all, func(a, b place) int { return cmp.Compare(b.inFlight, a.inFlight) })
	listed := make([]int, len(s.Services))
	for _, p := range all[:min(MaxEndpoints, len(all))] {
		listed[p.service]++
	}
	for i := range s.Services {
		s.Services[i].Endpoints, s.Services[i].Omitted = shorten(s.Services[i].Endpoints, listed[i])
	}
	s.Services, _ = shorten(s.Services, len(s.Services))
}

func (q *Queues) bound() {
	slices.SortFunc(q.Services, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(b.Waiting+b.InFlight, a.Waiting+a.InFlight), cmp.Compare(a.Service, b.Service))
	})
	q.Services, q.Omitted = shorten(q.Services, MaxServices)
	for i := range q.Services {
		s := &q.Services[i]
		slices.SortFunc(s.Customers, func(a, b Customer) int {
			return cmp.Or(cmp.Compare(b.Waiting+b.InFlight, a.Waiting+a.InFlight), cmp.Compare(b.refusals(), a.refusals()), cmp.Compare(a.Customer, b.Customer))
		})
		s.Customers, s.Omitted = shorten(s.Customers, MaxCustomers)
	}
}

// refusals returns the number of refused requests. Among customers without any other request those
// that were refused most come first: they are the ones an operator looks for.
func (c *Customer) refusals() (sum int64) {
	for _, n := range c.Refused {
		sum += n
	}
	return sum
}

func (s *Shares) bound() {
	slices.SortFunc(s.Services, func(a, b ServiceShare) int {
		return cmp.Or(b.pressure()-a.pressure(), cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Service, b.Service))
	})
	s.Services, s.Omitted = shorten(s.Services, MaxServices)
	for i := range s.Services {
		one := &s.Services[i]
		slices.SortFunc(one.Customers, func(a, b CustomerShare) int {
			return cmp.Or(cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Customer, b.Customer))
		})
		one.Customers, one.Omitted = shorten(one.Customers, MaxCustomers)
	}
	slices.SortFunc(s.Divided, func(a, b Division) int {
		return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.Service, b.Service))
	})
	s.Divided, s.OmittedDivisions = shorten(s.Divided, MaxServices)
	for i := range s.Divided {
		d := &s.Divided[i]
		slices.SortFunc(d.Processes, func(a, b ProcessShare) int {
			return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Process, b.Process))
		})
		d.Processes, d.Omitted = shorten(d.Processes, MaxProcesses)
	}
}

// pressure is 1 for a service under pressure, whose limits matter, and 0 for others.
func (s *ServiceShare) pressure() int {
	if s.Pressed {
		return 1
	}
	return 0
}

func (d *Division) demand() int {
	sum := 0
	for _, p := range d.Processes {
		sum += p.Demand
	}
	return sum
}

func (s *Suspects) bound() {
	slices.SortFunc(s.Requests, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	s.Requests, s.Omitted = shorten(s.Requests, MaxSuspects)
	for i := range s.Requests {
		one := &s.Requests[i]
		one.Running, _ = shorten(one.Running, MaxSuspectEndpoints)
		ids := slices.Sorted(maps.Keys(one.Endpoints))
		for _, id := range ids[min(MaxSuspectEndpoints, len(ids)):] {
			delete(one.Endpoints, id)
			one.Omitted++
		}
	}
}
