package observe

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

var _ = Describe("the report of the load", func() {
	get := func(load func() any) *fasthttp.RequestCtx {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI("/load.json")
		Server{Load: load}.handle(ctx)
		return ctx
	}

	It("is JSON", func() {
		ctx := get(func() any { return map[string]int{"a": 1} })
		Expect(ctx.Response.StatusCode()).To(Equal(fasthttp.StatusOK))
		Expect(string(ctx.Response.Header.ContentType())).To(Equal("application/json"))
		Expect(string(ctx.Response.Body())).To(Equal(`{"a":1}`))
	})

	// Half a report with status 200 would be taken for a whole one.
	It("is an error if it has no JSON, and not found if there is none", func() {
		Expect(get(func() any { return math.NaN() }).Response.StatusCode()).To(Equal(fasthttp.StatusInternalServerError))
		Expect(get(nil).Response.StatusCode()).To(Equal(fasthttp.StatusNotFound))
	})
})
