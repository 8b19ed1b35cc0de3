package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("the budget for repeats", func() {
	bounds := retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

	var clock *clockwork.FakeClock

	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	budget := func(instances int) *retry.Budget {
		return retry.NewBudget(clock, bounds, func() int { return instances })
	}

	take := func(b *retry.Budget, n int) int {
		taken := 0
		for range n {
			if b.TryRetry("s", 1) {
				taken++
			}
		}
		return taken
	}

	It("holds for all instances together in every window", func() {
		const instances = 5
		var all []*retry.Budget
		for range instances {
			all = append(all, budget(instances))
		}
		var times []time.Time
		requests := 0
		for range 400 {
			for _, b := range all {
				b.AddRequests("s", 1)
				requests++
				for range take(b, 3) {
					times = append(times, clock.Now())
				}
			}
			clock.Advance(100 * time.Millisecond)
		}
		perWindow := float64(requests) / 40 * 10
		for i := range times {
			n := 0
			for _, t := range times[i:] {
				if t.Sub(times[i]) < bounds.Window {
					n++
				}
			}
			Expect(float64(n)).To(BeNumerically("<=", bounds.Ratio*perWindow+bounds.Slack))
		}
	})

	It("limits a single instance to its own part", func() {
		Expect(take(budget(5), 100)).To(BeNumerically("<=", 10))
	})

	It("is kept per service and restored after the window", func() {
		b := budget(1)
		Expect(take(b, 1000)).To(BeNumerically(">", 0))
		Expect(b.TryRetry("s", 1)).To(BeFalse())
		Expect(b.TryRetry("other", 1)).To(BeTrue())
		clock.Advance(bounds.Window + time.Second)
		Expect(b.TryRetry("s", 1)).To(BeTrue())
	})

	It("follows changed bounds", func() {
		b := budget(1)
		b.SetBounds(retry.Bounds{Window: time.Second})
		Expect(b.TryRetry("s", 1)).To(BeFalse())
	})
})
