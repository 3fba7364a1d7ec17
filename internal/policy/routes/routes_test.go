package routes_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

var _ = Describe("Table", func() {
	table := routes.NewTable(&deployment.Declaration{Version: 3, Routes: []deployment.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})

	DescribeTable("finds the longest prefix of the host",
		func(host, path, want string) {
			route := table.Match(host, path)
			if want == "" {
				Expect(route).To(BeNil())
				return
			}
			Expect(route).NotTo(BeNil())
			Expect(route.Name).To(Equal(want))
		},
		Entry("longest", "a.example", "/x/y/z", "long"),
		Entry("shorter", "a.example", "/x/z", "short"),
		Entry("the slash is part of the prefix", "a.example", "/x/yz", "short"),
		Entry("root", "a.example", "/q", "all"),
		Entry("host with port and capitals", "A.Example:80", "/x/y/", "long"),
		Entry("other host", "b.example", "/x/y/", "other"),
		Entry("no prefix", "b.example", "/q", ""),
		Entry("no host", "c.example", "/x/", ""),
	)

	It("distributes requests by weight, and the same key always to the same service", func() {
		route := &deployment.Route{Backends: []deployment.Backend{{Service: "new", Weight: 10}, {Service: "old", Weight: 90}}}
		counts := map[string]int{}
		for i := range 2000 {
			key := strconv.Itoa(i)
			service := routes.SelectService(route, key)
			Expect(routes.SelectService(route, key)).To(Equal(service))
			counts[service]++
		}
		Expect(counts["new"]).To(BeNumerically("~", 200, 60))
		Expect(counts["old"]).To(BeNumerically("~", 1800, 60))
	})

	It("selects no backend of weight 0 unless no backend has a weight", func() {
		zero := &deployment.Route{Backends: []deployment.Backend{{Service: "off"}, {Service: "on", Weight: 1}}}
		for i := range 100 {
			Expect(routes.SelectService(zero, strconv.Itoa(i))).To(Equal("on"))
		}
		Expect(routes.SelectService(&deployment.Route{Backends: []deployment.Backend{{Service: "only"}}}, "k")).To(Equal("only"))
		Expect(routes.SelectService(&deployment.Route{}, "k")).To(BeEmpty())
	})
})
