package routes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/keys"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

var _ = Describe("KeyChanges", func() {
	customer := func(name string, apiKeys ...string) deployment.Customer {
		c := deployment.Customer{Name: name}
		for _, k := range apiKeys {
			c.Keys = append(c.Keys, keys.Hash(k))
		}
		return c
	}

	It("counts added and removed keys by customer", func() {
		before := &deployment.Declaration{Customers: []deployment.Customer{customer("gone", "a", "b"), customer("same", "c"), customer("turned", "d", "e")}}
		after := &deployment.Declaration{Customers: []deployment.Customer{customer("turned", "e", "f", "g"), customer("same", "c"), customer("come", "h")}}
		Expect(routes.KeyChanges(before, after)).To(Equal([]routes.KeyChange{
			{Customer: "come", Added: 1}, {Customer: "gone", Removed: 2}, {Customer: "turned", Added: 2, Removed: 1},
		}))
	})
})

var _ = Describe("Admission", func() {
	first := 0
	table := routes.NewTable(&deployment.Declaration{
		RequireKeys: true,
		Customers: []deployment.Customer{
			{Name: "urgent", Keys: []keys.Digest{keys.Hash("u1"), keys.Hash("u2")}, Priority: &first},
			{Name: "plain", Keys: []keys.Digest{keys.Hash("p1")}},
			{Name: "keyless"},
		},
		Routes: []deployment.Route{
			{Host: "a", Prefix: "/", Kind: deployment.Rollout, Priority: 3},
			{Host: "a", Prefix: "/open/", Kind: deployment.Rollout, Public: true},
			{Host: "b", Prefix: "/", Kind: deployment.Rollout, Public: true},
			{Host: "c", Prefix: "/", Kind: deployment.Idempotent, Public: true},
		},
	})
	closed, open := table.Match("a", "/x"), table.Match("a", "/open/x")

	It("depends on the key, and a customer's priority overrides the route's", func() {
		Expect(table.Admit(closed, "u2")).To(Equal(routes.Admission{Allowed: true, Customer: "urgent", Priority: 0}))
		Expect(table.Admit(closed, "p1")).To(Equal(routes.Admission{Allowed: true, Customer: "plain", Priority: 3}))
		Expect(table.Admit(closed, "x").Allowed).To(BeFalse())
		Expect(table.Admit(closed, "").Allowed).To(BeFalse())
	})

	It("needs no key on a public route", func() {
		Expect(table.Admit(open, "")).To(Equal(routes.Admission{Allowed: true}))
		Expect(table.Admit(open, "x")).To(Equal(routes.Admission{Allowed: true}))
		Expect(table.Admit(open, "p1").Customer).To(Equal("plain"))
	})

	It("needs a key for job calls unless the jobs could be submitted without one", func() {
		Expect(table.AdmitJobCall("a", "").Allowed).To(BeFalse(), "one of the routes is not public")
		Expect(table.AdmitJobCall("a", "p1")).To(Equal(routes.Admission{Allowed: true, Customer: "plain"}))
		Expect(table.AdmitJobCall("b:80", "").Allowed).To(BeTrue())
		Expect(table.AdmitJobCall("c", "").Allowed).To(BeFalse(), "no jobs are submitted there")
		Expect(table.AdmitJobCall("none", "").Allowed).To(BeFalse())
	})

	It("needs no key if the operator declared none", func() {
		all := routes.NewTable(&deployment.Declaration{Routes: []deployment.Route{{Host: "a", Prefix: "/", Priority: 2}}})
		Expect(all.Admit(all.Match("a", "/x"), "x")).To(Equal(routes.Admission{Allowed: true, Priority: 2}))
		Expect(all.AdmitJobCall("a", "").Allowed).To(BeTrue())
	})
})
