package balance_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

var _ = Describe("the speed of an engine", func() {
	var (
		clock *clockwork.FakeClock
		b     *balance.Balancer
	)
	engine := func(id string) []fleet.Endpoint { return []fleet.Endpoint{{ID: id, Service: "model"}} }
	spec := balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "own", Tokens: 10_000}}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, noBackoffs(clock))
		for range 48 {
			c := b.Pick(engine("usual"), balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: clock.Now().String(), Tokens: 10_000}}})
			c.RecordLoad(&balance.Load{Slots: 12, Slowness: 1})
			clock.Advance(200 * time.Millisecond)
			c.EventsReceived(1)
			c.End(balance.Succeeded, nil)
		}
	})

	// call makes a call to an engine whose first event takes a multiple of the usual time.
	call := func(id string, factor float64, load balance.Load) {
		c := b.Pick(engine(id), balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: clock.Now().String(), Tokens: 10_000}}})
		c.RecordLoad(&load)
		clock.Advance(time.Duration(200 * factor * float64(time.Millisecond)))
		c.EventsReceived(1)
		c.End(balance.Succeeded, nil)
	}

	estimate := func(id string) time.Duration {
		took, _ := b.Estimate(engine(id), spec)
		return took
	}

	It("is remembered until the engine is called again", func() {
		for range 3 {
			call("slow", 2.2, balance.Load{Slots: 12, Slowness: 1})
			clock.Advance(25 * time.Second)
		}
		Expect(estimate("slow")).To(BeNumerically(">", 300*time.Millisecond))
	})

	It("is not reduced by interference that the response reports, which is gone at the next call", func() {
		for range 3 {
			call("disturbed", 2.5, balance.Load{Slots: 12, Slowness: 2.5})
		}
		clock.Advance(2 * time.Second)
		Expect(estimate("disturbed")).To(BeNumerically("~", estimate("new"), 30*time.Millisecond))
	})

	It("is not reduced by calls that had to wait", func() {
		call("full", 4, balance.Load{Waiting: 5, Slots: 12, Slowness: 1})
		Expect(estimate("full")).To(BeNumerically("~", estimate("new"), 30*time.Millisecond))
	})

	It("is measured by the time between events where prompts are cached", func() {
		stream := func(id string, interval time.Duration) {
			c := b.Pick(engine(id), balance.CallSpec{Engine: true})
			c.RecordLoad(&balance.Load{Slots: 12, Slowness: 1})
			for range 100 {
				clock.Advance(interval)
				c.EventsReceived(1)
			}
			c.End(balance.Succeeded, nil)
		}
		for range 10 {
			stream("usual", 20*time.Millisecond)
		}
		for range 5 {
			stream("slow", 44*time.Millisecond)
		}
		Expect(estimate("slow")).To(BeNumerically(">", estimate("usual")*3/2))
	})
})
