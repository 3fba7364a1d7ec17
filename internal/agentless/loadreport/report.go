// Package loadreport defines the JSON report of what one process knows of its load: the speeds
// of endpoints, the queues and shares of services, and the requests under which endpoints ended.
// Processes serve it at Path of their metrics address, and siskinctl reads it.
package loadreport

import "time"

// Path is the path of the report at a process's metrics address.
const Path = "/load.json"

// Format is the version of the report's format. It changes if a field changes its meaning;
// fields may be added without a change.
const Format = 1

// MaxBytes is the most bytes of a report that a reader accepts. A report with as many elements as
// the limits below allow, and names of 40 bytes, has 2.4 MB.
const MaxBytes = 4 << 20

// Limits of the number of elements. Of more than that, the busiest are reported and the others are
// counted.
const (
	MaxEndpoints        = 1300 // of all services; the largest supported deployment
	MaxServices         = 50   // with a queue, a share or a division
	MaxCustomers        = 100  // of one service
	MaxProcesses        = 200  // of one division
	MaxSuspects         = 100
	MaxSuspectEndpoints = 20 // of one suspect; more than any bound on ended endpoints
)

// Report is what one process knows of its load. A section is nil only if it was removed from a
// report that siskinctl prints.
type Report struct {
	Format      int       `json:"format"`
	Process     string    `json:"process"`
	At          time.Time `json:"at"`
	Declaration int64     `json:"declaration"` // version in force; 0: none

	Speeds   *Speeds   `json:"speeds,omitempty"`
	Queues   *Queues   `json:"queues,omitempty"`
	Shares   *Shares   `json:"shares,omitempty"`
	Suspects *Suspects `json:"suspects,omitempty"`
}

// Speeds lists the speeds of the endpoints by service.
type Speeds struct {
	Services []ServiceSpeeds `json:"services"`
}

// ServiceSpeeds describes the speeds of the endpoints of one service.
type ServiceSpeeds struct {
	Service   string          `json:"service"`
	Uneven    bool            `json:"uneven"`        // some endpoints are permanently faster than the median
	Median    float64         `json:"medianSeconds"` // per unit of work of a request alone; 0: unknown
	Slope     float64         `json:"slope"`         // fraction by which one more concurrent request lengthens a unit
	Endpoints []EndpointSpeed `json:"endpoints"`     // the busiest first
	Omitted   int             `json:"omitted"`       // endpoints that are not listed
}

// EndpointSpeed describes the speed of one endpoint.
type EndpointSpeed struct {
	ID        string  `json:"id"`
	Seconds   float64 `json:"seconds"`        // per unit of work of a request alone; the median if Units is 0
	Lasting   float64 `json:"lastingSeconds"` // without temporary slowness; 0: unknown
	Units     int     `json:"units"`          // number of measured units; 0: not measured
	AgeMillis int64   `json:"ageMillis"`      // of the last measurement; -1: not measured
	InFlight  int     `json:"inFlight"`       // requests of this process
}

// Queues lists the queues of services.
type Queues struct {
	Services []Queue `json:"services"` // the busiest first
	Omitted  int     `json:"omitted"`  // services that are not listed
}

// Queue describes the queue of one service.
type Queue struct {
	Service    string           `json:"service"`
	Limit      int              `json:"limit"`    // most requests in flight
	Learned    int              `json:"learned"`  // limit learned from latency and refusals
	Assigned   int              `json:"assigned"` // limit assigned to this process; 0: none
	InFlight   int              `json:"inFlight"`
	Waiting    int              `json:"waiting"`
	QueueLimit int              `json:"queueLimit"` // most waiting requests
	Refused    map[string]int64 `json:"refused"`    // by reason, since the start of the process
	Customers  []Customer       `json:"customers"`  // the busiest first
	Omitted    int              `json:"omitted"`    // customers that are not listed
}

// Customer describes the requests of one customer to a service.
type Customer struct {
	Customer string           `json:"customer"` // empty: requests without a customer's key
	InFlight int              `json:"inFlight"`
	Waiting  int              `json:"waiting"`
	Refused  map[string]int64 `json:"refused,omitempty"` // by reason, since the start of the process
}

// Shares lists the parts of services that the process may use, and the services whose slots it
// divides.
type Shares struct {
	Services         []ServiceShare `json:"services"` // the busiest first
	Omitted          int            `json:"omitted"`  // services that are not listed
	Divided          []Division     `json:"divided"`  // the busiest first
	OmittedDivisions int            `json:"omittedDivisions"`
}

// ServiceShare describes the part of a service that the process may use.
type ServiceShare struct {
	Service   string          `json:"service"`
	Pressed   bool            `json:"pressed"` // under pressure in the view of this process
	Worker    string          `json:"worker"`  // that divides the slots
	Slots     int             `json:"slots"`   // that this process may use; 0: not limited
	Valid     bool            `json:"valid"`   // Slots comes from a valid allotment, not from an equal division
	Level     float64         `json:"level"`   // slots per unit of weight that no customer exceeds; 0: all get what they ask for
	Processes int             `json:"processes"`
	Customers []CustomerShare `json:"customers"` // that get less than they ask for, the fewest slots first
	Omitted   int             `json:"omitted"`   // customers that are not listed
}

// CustomerShare is the limit of one customer.
type CustomerShare struct {
	Customer string `json:"customer"`
	Slots    int    `json:"slots"`
}

// Division describes a service whose slots the process divides.
type Division struct {
	Service   string         `json:"service"`
	Capacity  int            `json:"capacity"`
	Level     float64        `json:"level"`     // 0: every customer gets all it asks for
	Processes []ProcessShare `json:"processes"` // the largest demand first
	Omitted   int            `json:"omitted"`   // processes that are not listed
}

// ProcessShare is the share of one process.
type ProcessShare struct {
	Process string `json:"process"`
	Demand  int    `json:"demand"`
	Slots   int    `json:"slots"`
}

// Suspects lists the requests under which endpoints ended.
type Suspects struct {
	Requests []Suspect `json:"requests"` // those that ended the most endpoints first
	Omitted  int       `json:"omitted"`
}

// Suspect describes one request under which endpoints ended.
type Suspect struct {
	Fingerprint  string            `json:"fingerprint"`
	Endpoints    map[string]string `json:"endpoints"`             // that ended, with the process that reported each
	BlockedUntil time.Time         `json:"blockedUntil,omitzero"` // end of its quarantine; zero: only a suspect
	Contested    bool              `json:"contested"`             // another request ran at the same ends
	Running      []string          `json:"running"`               // endpoints that run copies for this process
	Omitted      int               `json:"omittedEndpoints"`      // ended endpoints that are not listed
}
