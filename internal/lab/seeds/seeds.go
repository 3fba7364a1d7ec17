// Package seeds runs seeded schedules concurrently.
package seeds

import (
	"runtime"
	"sync"
)

// Each calls run once for each seed from 1 to n, several at a time, and returns when
// all calls have returned. What callers accumulate must not depend on the order of
// the calls, so that the result is the same on every machine.
func Each(n int, run func(seed uint64)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for seed := 1; seed <= n; seed++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			run(uint64(seed))
		})
	}
	wg.Wait()
}
