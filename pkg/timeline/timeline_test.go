package timeline_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var _ = Describe("the timeline", func() {
	It("orders cause before effect despite clock skew between processes", func() {
		ahead := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		behind := clockwork.NewFakeClockAt(time.Unix(990, 0))
		a := timeline.NewRing("a", timeline.NewClock(ahead), 10)
		b := timeline.NewRing("b", timeline.NewClock(behind), 10)
		a.Add(timeline.Event{Kind: timeline.ChangeAccepted})
		b.Clock().Observe(a.Clock().Now())
		b.Add(timeline.Event{Kind: timeline.ChangeInForce})
		behind.Advance(time.Second)
		b.Add(timeline.Event{Kind: timeline.PeerJoined})
		fromA, _ := a.Select(timeline.Filter{})
		fromB, _ := b.Select(timeline.Filter{})
		var kinds []timeline.Kind
		for _, e := range timeline.Merge(fromB, fromA) {
			kinds = append(kinds, e.Kind)
		}
		Expect(kinds).To(Equal([]timeline.Kind{timeline.ChangeAccepted, timeline.ChangeInForce, timeline.PeerJoined}))
	})

	It("ignores stamps far ahead and never goes backwards", func() {
		wall := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		c := timeline.NewClock(wall)
		first := c.Now()
		c.Observe(timeline.Stamp{WallMs: 5_000_000_000})
		Expect(c.Now().WallMs).To(Equal(first.WallMs))
		wall.Advance(-time.Hour)
		Expect(first.Less(c.Now())).To(BeTrue())
	})

	It("counts the events that a full ring has dropped", func() {
		r := timeline.NewRing("a", timeline.NewClock(clockwork.NewFakeClock()), 3)
		for _, request := range []string{"1", "2", "3", "4", "5"} {
			r.Add(timeline.Event{Request: request})
		}
		events, dropped := r.Select(timeline.Filter{})
		Expect(dropped).To(Equal(uint64(2)))
		Expect(events).To(HaveLen(3))
		Expect(events[0].Request).To(Equal("3"))
		events, _ = r.Select(timeline.Filter{Request: "5"})
		Expect(events).To(HaveLen(1))
	})
})
