package config_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/config"
)

var _ = Describe("Follower's turns to read the service", func() {
	// The record holds the declarations and up to 64 audit entries. If the same three
	// entries of a large deployment read it every second for all others, their traffic
	// is several times that of the others.
	It("gives every entry a few reads, and the service three a second", func() {
		const seconds = 370
		rnd := rand.New(rand.NewPCG(1, 1))
		begin := time.Unix(1_000_000, 0)
		var entries []config.Peer
		for i := range 370 {
			entries = append(entries, config.Peer{ID: fmt.Sprint("e", i), Domain: fmt.Sprint(i % 8)})
		}
		all, most := 0, 0
		for _, e := range entries {
			f := config.NewFollower(config.DefaultFollowerConfig(), e, true, begin, rnd)
			f.SetEntries(begin, "d", entries)
			f.Applied(begin, 1)
			reads := 0
			for i := range 10 * seconds {
				now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
				if i%10 == 0 { // other entries report that they have read
					f.StatusReceived(now, config.PeerStatus{From: entries[i%7], Revision: 1, SentAt: now})
				}
				if f.Tick(now, rnd).Kind == config.NeedRead {
					reads++
				}
			}
			all += reads
			most = max(most, reads)
		}
		Expect(all).To(And(BeNumerically(">=", 2.9*seconds), BeNumerically("<=", 3.1*seconds)))
		Expect(most).To(BeNumerically("<=", 15))
	})
})
