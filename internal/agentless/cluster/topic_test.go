package cluster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
)

var _ = Describe("a topic of which only some parts are needed", func() {
	record := func(key string, revision int64) kv.Record {
		return kv.Record{Key: key, Revision: revision, Value: []byte("v")}
	}

	It("tells all of a part that comes to be needed, though a listing of the others lacked it", func() {
		// A process starts, lists all endpoints, and is then sent those of the services
		// that it needs. Later a declaration sends requests to another service, whose
		// endpoints have not changed since. Taken for gone, they would never be used.
		v := &view{}
		topic := v.topic("p/")
		cluster.Listing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3), record("p/llm", 4)}})
		cluster.Listing(topic, kv.Page{AsOf: 12, Records: []kv.Record{record("p/app", 3)}})
		Expect(v.now()).To(HaveLen(1))
		cluster.Widen(topic)
		Expect(topic.AsOf()).To(BeZero())
		cluster.Listing(topic, kv.Page{AsOf: 13, Records: []kv.Record{record("p/app", 3), record("p/llm", 4)}})
		Expect(v.now()).To(HaveLen(2))
	})

	It("takes nothing back that is known to have gone", func() {
		v := &view{}
		topic := v.topic("p/")
		cluster.Listing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3)}})
		cluster.Tell(topic, kv.Change{Record: kv.Record{Key: "p/app", Revision: 11}, Deleted: true})
		cluster.Widen(topic)
		cluster.Listing(topic, kv.Page{AsOf: 10, Records: []kv.Record{record("p/app", 3)}})
		Expect(v.now()).To(BeEmpty(), "the listing lags behind")
	})
})
