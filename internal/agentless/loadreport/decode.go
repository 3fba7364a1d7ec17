package loadreport

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// FieldError is a fault of a report. Field is its path in the JSON, empty if the bytes are not a
// JSON object.
type FieldError struct {
	Field string
	Fault string
}

// Error returns the field and the fault.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Fault
	}
	return fmt.Sprintf("field %q: %s", e.Field, e.Fault)
}

// Decode returns the report in raw. Unknown fields are ignored: a newer process may add some.
func Decode(raw []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(raw, r); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, &FieldError{Field: wrongType.Field, Fault: "is a " + wrongType.Value + ", not " + wrongType.Type.String()}
		}
		return nil, &FieldError{Fault: "is not JSON: " + err.Error()}
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}

// check returns a fault of a decoded report.
func (r *Report) check() error {
	switch {
	case r.Format != Format:
		return &FieldError{Field: "format", Fault: fmt.Sprintf("is %d, not %d", r.Format, Format)}
	case r.Process == "":
		return &FieldError{Field: "process", Fault: "is missing"}
	case r.At.IsZero():
		return &FieldError{Field: "at", Fault: "is missing"}
	}
	for _, section := range []struct {
		name    string
		missing bool
	}{{"speeds", r.Speeds == nil}, {"queues", r.Queues == nil}, {"shares", r.Shares == nil}, {"suspects", r.Suspects == nil}} {
		if section.missing {
			return &FieldError{Field: section.name, Fault: "is missing"}
		}
	}
	return r.checkSpeeds()
}

// checkSpeeds returns a fault of the measured values, which siskinctl calculates with.
func (r *Report) checkSpeeds() error {
	for i := range r.Speeds.Services {
		s := &r.Speeds.Services[i]
		if s.Median < 0 {
			return &FieldError{Field: fmt.Sprintf("speeds.services[%d].medianSeconds", i), Fault: "is negative"}
		}
		for j := range s.Endpoints {
			if s.Endpoints[j].Seconds < 0 {
				return &FieldError{Field: fmt.Sprintf("speeds.services[%d].endpoints[%d].seconds", i, j), Fault: "is negative"}
			}
		}
	}
	return nil
}
