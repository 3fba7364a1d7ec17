// Package capacity measures the cost of control traffic for a process of each role
// in fleets of several sizes, and extrapolates it linearly to the reference
// fleet.
package capacity

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Size of the reference fleet, which the users expect within two years.
const (
	TargetEntries = 370
	TargetAgents  = 1300
)

// Sample is the mean cost of a process of one role at one fleet size.
type Sample struct {
	Entries    int     `json:"entries"`
	Agents     int     `json:"agents"`
	Role       string  `json:"role"`
	Processes  int     `json:"processes"`
	CPUPercent float64 `json:"cpu_percent"` // of one core
	Kilobytes  float64 `json:"kilobytes"`   // read and written per second
	Megabytes  float64 `json:"megabytes"`   // resident memory
	// Uses holds the bytes per second, sent and received, by use: one entry for each
	// use that the traffic counters distinguish and one for each use of the key-value
	// service. "traffic.key_value" is the sum of the latter, including framing.
	Uses map[string]float64 `json:"uses"`
	// Connections holds the connections opened per second, by use. Each new connection
	// transfers the descriptions of the message types again.
	Connections map[string]float64 `json:"connections"`
	// Busiest is the kilobytes per second read and written by the process with the
	// most, and BusiestUses its bytes per second by use.
	Busiest     float64            `json:"busiest"`
	BusiestUses map[string]float64 `json:"busiest_uses"`
}

// Process is a process to measure.
type Process struct {
	Role    string
	PID     int
	Metrics string // ip:port at which its counters are served
}

// Append appends samples to a file, one JSON object per line.
func Append(path string, samples []Sample) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "capacity")
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, s := range samples {
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "capacity")
		}
	}
	return nil
}

// Load reads the samples from a file that Append wrote.
func Load(path string) ([]Sample, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	defer file.Close()
	var samples []Sample
	decoder := json.NewDecoder(file)
	for {
		var s Sample
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			return samples, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "capacity: "+path)
		}
		samples = append(samples, s)
	}
}
