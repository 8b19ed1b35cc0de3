package balance_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

var _ = Describe("an endpoint that tells how long work takes there now", func() {
	var (
		clock *clockwork.FakeClock
		b     *balance.Balancer
		all   []fleet.Endpoint
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, restless(clock))
		all = []fleet.Endpoint{{ID: "slow", Slots: 4}, {ID: "usual", Slots: 4}}
		tell := func(at int, slowness float64) {
			c := b.Pick(all[at:at+1], balance.Need{})
			clock.Advance(20 * time.Millisecond)
			c.Begun()
			c.Told(&balance.Load{Running: 1, Slots: 4, Slowness: slowness})
			c.End(balance.Well, nil)
		}
		tell(1, 1)
		tell(0, 4)
	})

	picks := func(n int) int {
		slow := 0
		for range n {
			c := b.Pick(all, balance.Need{})
			if c.Endpoint.ID == "slow" {
				slow++
			}
			c.End(balance.Canceled, nil)
		}
		return slow
	}

	It("is passed by while that is much, and used again when the word is old", func() {
		Expect(picks(40)).To(BeZero())
		clock.Advance(2 * time.Second)
		Expect(picks(40)).To(BeNumerically(">", 5))
	})
})
