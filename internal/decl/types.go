// Package decl parses, checks and compares the operators' declarations. They
// describe a deployment with its services, request classes, businesses, agencies,
// callers and trainer feeds. They are INI files under version control; Parse reads
// a set of files as a whole and reports every finding with its file and line.
package decl

import "time"

// ServiceKind is the protocol of a service's endpoints.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model" // batching engines with OpenAI-style completions
	KindPlain ServiceKind = "plain" // HTTP requests are passed on with method, path and body
)

// Deployment is everything that one group of operators declares.
type Deployment struct {
	Name           string     `json:"name"`
	Services       []Service  `json:"services"`
	Classes        []Class    `json:"classes"`
	Businesses     []Business `json:"businesses"`
	Agencies       []Agency   `json:"agencies"`
	Callers        []Caller   `json:"callers"`
	Feeds          []Feed     `json:"feeds"`
	Operators      []Operator `json:"operators"`
	DrainInstances []string   `json:"drain_instances"` // instances that an operator has drained
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name          string      `json:"name"`
	Kind          ServiceKind `json:"kind"`
	Fencing       bool        `json:"fencing"`        // endpoints reject orders with an outdated fencing token
	Slots         int         `json:"slots"`          // limit of concurrent requests per endpoint
	QueueLimit    int         `json:"queue_limit"`    // limit of requests queued at an agent
	CapacityFloor float64     `json:"capacity_floor"` // share of the endpoints that keep serving during a weight swap, 0..1
	MaxBodyBytes  int         `json:"max_body_bytes"`
	Roles         []string    `json:"roles,omitempty"` // roles of model engines with their shares, such as "decode:3"; empty: engines keep their roles
}

// Role is a role of a share of a service's engines, such as prefill.
type Role struct {
	Name  string
	Share int // relative to the shares of the other roles
}

// Class is a kind of request to one service with its deadline, priority and retry
// rules.
type Class struct {
	Name        string        `json:"name"`
	Service     string        `json:"service"`
	Match       []string      `json:"match"` // "METHOD /path" patterns, where a trailing * matches any suffix; empty: every request
	Idempotent  bool          `json:"idempotent"`
	Deadline    time.Duration `json:"deadline"`
	Priority    int           `json:"priority"`     // requests with a higher number are served first
	RetryWindow time.Duration `json:"retry_window"` // how long a caller may repeat a request ID
	HedgeAt     float64       `json:"hedge_at"`     // latency quantile after which a hedge is sent; 0: never
}

// Business is an independent customer of a deployment.
type Business struct {
	Name        string  `json:"name"`
	Weight      float64 `json:"weight"`       // share of the capacity, relative to the other businesses
	RetryBudget float64 `json:"retry_budget"` // limit of retries as a share of the business's requests
}

// Agency is a member of a business. It is entitled to a share of the capacity that the
// business gets.
type Agency struct {
	Name     string  `json:"name"`
	Business string  `json:"business"`
	Weight   float64 `json:"weight"` // share, relative to the other agencies of the business
}

// Caller is a client system that authenticates with a key.
type Caller struct {
	Name      string  `json:"name"`
	Agency    string  `json:"agency"`
	Weight    float64 `json:"weight"`     // share, relative to the other callers of the agency
	KeySHA256 string  `json:"key_sha256"` // hex digest of the caller's key
	RateLimit float64 `json:"rate_limit"` // requests per second; 0: no limit
	Burst     int     `json:"burst"`      // requests that may come at once in spite of the rate limit
}

// Operator is a person or pipeline that may change the configuration.
type Operator struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"`
}

// Feed is a stream of scored samples for one trainer.
type Feed struct {
	Name            string        `json:"name"`
	Service         string        `json:"service"`
	Business        string        `json:"business"`
	Model           string        `json:"model"`
	Scorer          string        `json:"scorer"`          // service that scores samples; empty: none
	TrainerSHA256   string        `json:"trainer_sha256"`  // hex digest of the trainer's key
	StalenessBound  int           `json:"staleness_bound"` // limit of a sample's staleness, in weight versions
	StalenessTime   time.Duration `json:"staleness_time"`  // limit of the time since a sample's first token; 0: none
	GroupSize       int           `json:"group_size"`      // samples of a group that are handed over
	GroupsPerStep   int           `json:"groups_per_step"`
	LotSize         int           `json:"lot_size"`         // limit of samples handed over at once
	MaxTokens       int           `json:"max_tokens"`       // limit of tokens of a sample
	WeightIdle      float64       `json:"weight_idle"`      // cost of trainer idle time: per second idle for each second of training
	WeightStaleness float64       `json:"weight_staleness"` // cost of staleness: per version that samples are behind on average
	SpareSamples    int           `json:"spare_samples"`    // samples generated per group in addition to GroupSize
	Share           float64       `json:"share"`            // this feed's share of the service's rollout capacity
	Prompts         []string      `json:"prompts"`          // prompt templates; {step}, {group} and {index} are replaced
}
