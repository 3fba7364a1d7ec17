package cluster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
)

var _ = Describe("Topic of which only some scopes are needed", func() {
	record := func(key string, revision int64) kv.Record {
		return kv.Record{Key: key, Revision: revision, Value: []byte("v")}
	}

	It("reports all keys of a newly needed scope, although an earlier listing lacked them", func() {
		// A process starts, lists all endpoints, and then receives those of the
		// services that it needs. Later a declaration routes requests to another
		// service, whose endpoints have not changed since. If they counted as deleted,
		// they would never be used.
		v := &view{}
		topic := v.topic("p/")
		cluster.ApplyListing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3), record("p/llm", 4)}})
		cluster.ApplyListing(topic, kv.Page{AsOf: 12, Records: []kv.Record{record("p/app", 3)}})
		Expect(v.snapshot()).To(HaveLen(1))
		cluster.ResetForScopes(topic)
		Expect(topic.AsOf()).To(BeZero())
		cluster.ApplyListing(topic, kv.Page{AsOf: 13, Records: []kv.Record{record("p/app", 3), record("p/llm", 4)}})
		Expect(v.snapshot()).To(HaveLen(2))
	})

	It("does not restore a key that is known to be deleted", func() {
		// More scopes are needed, and the new listing comes from a relay that lags behind.
		// Only inferred deletions may be forgotten then; this one was received.
		v := &view{}
		topic := v.topic("p/")
		cluster.ApplyListing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3)}})
		cluster.Apply(topic, kv.Change{Record: kv.Record{Key: "p/app", Revision: 11}, Deleted: true})
		cluster.ResetForScopes(topic)
		cluster.ApplyListing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3)}})
		Expect(v.snapshot()).To(BeEmpty(), "the listing lags behind")
	})
})
