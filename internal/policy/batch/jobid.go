package batch

import "net/url"

// JobID names a job of a customer by the ID that its submitter gave it. Two customers'
// jobs never have one name, so that nobody reaches another's, and the name is one
// segment of a path. The customer is empty where there are none.
func JobID(customer, id string) string {
	const separator = "!" // escaped where it stands in a name
	if customer == "" {
		return url.PathEscape(id)
	}
	return url.PathEscape(customer) + separator + url.PathEscape(id)
}
