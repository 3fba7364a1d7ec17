package batch

import "strings"

// ownerSign stands between a customer's name and a job's ID.
const ownerSign = "!"

// segment escapes a name for use in one segment of a key, without the sign.
var segment = strings.NewReplacer("%", "%25", "/", "%2F", ownerSign, "%21")

// JobID names a job of a customer by the ID that its submitter gave it. Two customers'
// jobs never have one name, so that nobody reaches another's, and the name is one
// segment of a path. The customer is empty where there are none.
func JobID(customer, id string) string {
	if customer == "" {
		return segment.Replace(id)
	}
	return segment.Replace(customer) + ownerSign + segment.Replace(id)
}
