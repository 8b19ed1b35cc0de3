package notice_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notice")
}

// held are limits for all, with how long each holds this machine up.
type held map[string]time.Duration

func (h held) Any() bool { return len(h) > 0 }

func (h held) Delay(life string) time.Duration { return h[life] }

var _ = Describe("rests that endpoints want", func() {
	var (
		clock *clockwork.FakeClock
		rests *notice.Rests
	)
	endpoints := []fleet.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		rests = notice.NewRests(clock, notice.Unlimited{}, logging.Discard().For("notice"))
	})

	ids := func(endpoints []fleet.Endpoint) []string {
		var ids []string
		for _, e := range endpoints {
			ids = append(ids, e.ID)
		}
		return ids
	}

	It("are over when the time has passed that was asked for", func() {
		rests.Ask("a", 3*time.Second)
		Expect(rests.Left("a")).To(Equal(3 * time.Second))
		Expect(rests.Left("b")).To(BeZero())
		clock.Advance(2999 * time.Millisecond)
		Expect(rests.Left("a")).To(Equal(time.Millisecond))
		clock.Advance(time.Millisecond)
		Expect(rests.Left("a")).To(BeZero())
	})

	It("end with the later of two", func() {
		rests.Ask("a", 3*time.Second)
		clock.Advance(time.Second)
		rests.Ask("a", time.Second)
		Expect(rests.Left("a")).To(Equal(2*time.Second), "a shorter one takes nothing back")
		rests.Ask("a", 5*time.Second)
		Expect(rests.Left("a")).To(Equal(5 * time.Second))
	})

	It("leave the endpoints that want none", func() {
		Expect(rests.Awake(endpoints)).To(Equal(endpoints))
		rests.Ask("b", time.Second)
		Expect(ids(rests.Awake(endpoints))).To(HaveExactElements("a", "c"))
		rests.Ask("a", time.Second)
		rests.Ask("c", time.Second)
		Expect(rests.Awake(endpoints)).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(ids(rests.Awake(endpoints))).To(HaveExactElements("a", "b", "c"))
	})

	It("tell when the first is over, if all want one", func() {
		Expect(rests.Least(nil)).To(BeZero())
		rests.Ask("a", 3*time.Second)
		rests.Ask("b", 2*time.Second)
		Expect(rests.Least(endpoints)).To(BeZero(), "one wants none")
		rests.Ask("c", 4*time.Second)
		Expect(rests.Least(endpoints)).To(Equal(2 * time.Second))
	})

	It("spread those who come back over the ends that are near, none before the first", func() {
		rests.Ask("a", 2*time.Second)
		rests.Ask("b", 2*time.Second+400*time.Millisecond)
		Expect(rests.Return(endpoints, time.Second)).To(BeZero(), "one wants none")
		rests.Ask("c", time.Minute)
		told := map[time.Duration]int{}
		for range 200 {
			told[rests.Return(endpoints, time.Second)]++
		}
		Expect(told).To(HaveLen(2))
		Expect(told[2*time.Second]).To(BeNumerically(">", 50))
		Expect(told[2400*time.Millisecond]).To(BeNumerically(">", 50))
		Expect(rests.List()).To(HaveLen(3))
	})

	It("are those by limits for all as well, and the longer of both", func() {
		limits := held{"a": time.Second, "b": 3 * time.Second}
		rests = notice.NewRests(clock, limits, logging.Discard().For("notice"))
		rests.Ask("b", 2*time.Second)
		rests.Ask("c", 2*time.Second)
		Expect(rests.Left("a")).To(Equal(time.Second))
		Expect(rests.Left("b")).To(Equal(3 * time.Second))
		Expect(rests.Left("c")).To(Equal(2 * time.Second))
		Expect(rests.Awake(endpoints)).To(BeEmpty())
		Expect(rests.Limited(endpoints)).To(BeTrue())
		Expect(rests.Limited(endpoints[2:])).To(BeFalse())
		delete(limits, "a")
		Expect(ids(rests.Awake(endpoints))).To(HaveExactElements("a"))
	})

	It("are dropped when they are over", func() {
		rests.Ask("a", time.Second)
		rests.Ask("b", 2*time.Second)
		clock.Advance(time.Second)
		rests.Sweep()
		Expect(rests.Count()).To(Equal(1))
		Expect(rests.Left("b")).To(Equal(time.Second))
	})
})
