package overload_test

import (
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/overload"
)

var _ = Describe("the waits of goroutines for a processor", func() {
	It("grow with the goroutines that want to run", func() {
		waits := overload.NewSchedulerWaits()
		var group sync.WaitGroup
		for range 100 * runtime.GOMAXPROCS(0) {
			group.Go(func() {
				for until := time.Now().Add(5 * time.Millisecond); time.Now().Before(until); {
					runtime.Gosched()
				}
			})
		}
		group.Wait()
		sum, count := waits.Since()
		Expect(count).NotTo(BeZero())
		Expect(sum).NotTo(BeZero())
	})
})
