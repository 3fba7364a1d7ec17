package batch

import "strings"

// customerSeparator separates the customer's name from the job's ID.
const customerSeparator = "!"

// segmentEscaper escapes a name for use in one segment of a key, including any
// customerSeparator in it.
var segmentEscaper = strings.NewReplacer("%", "%25", "/", "%2F", customerSeparator, "%21")

// JobID returns the unique ID of a customer's job with the ID that its submitter chose.
// Jobs of different customers never have the same ID, so that no customer can access
// another's job, and the ID is a single segment of a path. The customer is empty in a
// deployment without customers.
func JobID(customer, id string) string {
	if customer == "" {
		return segmentEscaper.Replace(id)
	}
	return segmentEscaper.Replace(customer) + customerSeparator + segmentEscaper.Replace(id)
}
