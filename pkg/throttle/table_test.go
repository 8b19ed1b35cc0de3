package throttle_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

func TestThrottle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "throttle")
}

var _ = Describe("a table of limits", func() {
	var (
		clock *clockwork.FakeClock
		table *throttle.Table
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		table = throttle.NewTable(clock, logging.Discard().For("throttle"))
	})

	It("holds the last reported limit until it is cleared", func() {
		_, limited := table.PerSecond("a")
		Expect(limited).To(BeFalse())
		table.Set("a", 2)
		clock.Advance(time.Second)
		table.Set("a", 0.5)
		perSecond, limited := table.PerSecond("a")
		Expect(limited).To(BeTrue())
		Expect(perSecond).To(Equal(0.5))
		Expect(table.List()).To(Equal(map[string]float64{"a": 0.5}))
		clock.Advance(time.Second)
		table.Clear("a")
		_, limited = table.PerSecond("a")
		Expect(limited).To(BeFalse())
		Expect(table.Count()).To(BeZero())
	})

	It("merges only entries that are newer", func() {
		table.Set("a", 2)
		clock.Advance(5 * time.Second)
		table.Merge([]throttle.Limit{{EndpointID: "a", Age: 6 * time.Second}})
		Expect(table.Count()).To(Equal(1), "the local entry is newer")
		table.Merge([]throttle.Limit{{EndpointID: "a", Age: 4 * time.Second}, {EndpointID: "b", Limited: true, PerSecond: 3, Age: time.Second}, {EndpointID: "c", Age: time.Second}})
		Expect(table.List()).To(Equal(map[string]float64{"b": 3}))
	})

	It("never gossips an entry as newer than it is", func() {
		other := throttle.NewTable(clock, logging.Discard().For("throttle"))
		table.Set("a", 2)
		for range 50 {
			// The time in transit is unknown to the receiver.
			sent := table.Gossip(8)
			clock.Advance(200 * time.Millisecond)
			other.Merge(sent)
			sent = other.Gossip(8)
			clock.Advance(200 * time.Millisecond)
			table.Merge(sent)
		}
		Expect(table.Gossip(8)[0].Age).To(BeNumerically(">=", 20*time.Second))
	})

	It("gossips many entries in rotation", func() {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			table.Set(id, 1)
		}
		sent := map[string]bool{}
		for range 3 {
			for _, l := range table.Gossip(2) {
				sent[l.EndpointID] = true
			}
		}
		Expect(sent).To(HaveLen(5))
	})

	It("removes limits of removed endpoints and cleared limits after a delay", func() {
		table.Set("a", 1)
		table.Set("b", 1)
		clock.Advance(2 * time.Minute)
		table.Sweep(func(id string) bool { return id == "a" })
		Expect(table.List()).To(HaveLen(1))
		Expect(table.Count()).To(Equal(1))
		table.Clear("a")
		clock.Advance(2 * time.Minute)
		table.Sweep(func(string) bool { return true })
		Expect(table.Count()).To(BeZero())
	})
})
