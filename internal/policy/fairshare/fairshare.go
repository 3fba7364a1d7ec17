// Package fairshare divides the slots of a service between customers and
// between the processes that send the customers' requests.
package fairshare

// Demand is what one customer asks of a service in one process.
type Demand struct {
	Customer          string
	Weight            float64
	InFlight, Waiting int
}
