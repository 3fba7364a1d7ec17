package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a harmless scoring call that runs beside a request that ends endpoints", func() {
	const poisonous, scoring = 1, 2

	// Guards against a quarantine of the scoring call for an hour: an entry and the owner of a job
	// lose all three endpoints of a service at the same moments, each under its own request, and
	// the scoring call would count as often as the request that ends the endpoints.
	It("is not quarantined, and the other request is once it ends an endpoint alone", func() {
		store := standin.NewTransactionalStore()
		ended := endedAddresses{"a:1": true, "b:1": true, "c:1": true}
		entry, owner := startProcess(store, "entry", ended), startProcess(store, "owner", ended)
		for _, id := range []string{"a", "b", "c"} {
			entry.ConnectionLost(request(poisonous), endpoint(id))
			owner.ConnectionLost(request(scoring), endpoint(id))
		}
		again := endpoint("a")
		again.StartedAtMillis = 2
		entry.ConnectionLost(request(poisonous), again)
		for _, p := range []*process{entry, owner} {
			Eventually(func() bool { return p.BlockedUntil(poisonous).IsZero() }, "5s").Should(BeFalse())
			Eventually(func() bool { return p.BlockedUntil(scoring).IsZero() }, "5s").Should(BeTrue())
		}
	})
})
