package overload

import (
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the waits of goroutines for a processor", func() {
	It("grow with the goroutines that want to run", func() {
		waits := NewSchedulerWaits()
		var group sync.WaitGroup
		for range 100 * runtime.GOMAXPROCS(0) {
			group.Go(func() {
				for until := time.Now().Add(5 * time.Millisecond); time.Now().Before(until); {
					runtime.Gosched()
				}
			})
		}
		group.Wait()
		Expect(waits.Mean()).NotTo(BeZero())
	})
})
