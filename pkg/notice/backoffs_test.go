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

// fixedDelays implements notice.Limits with a constant delay per endpoint.
type fixedDelays map[string]time.Duration

func (h fixedDelays) Any() bool { return len(h) > 0 }

func (h fixedDelays) Delay(id string) time.Duration { return h[id] }

var _ = Describe("endpoint backoffs", func() {
	var (
		clock    *clockwork.FakeClock
		backoffs *notice.Backoffs
	)
	endpoints := []fleet.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		backoffs = notice.NewBackoffs(clock, notice.Unlimited{}, logging.Discard().For("notice"))
	})

	ids := func(endpoints []fleet.Endpoint) []string {
		var ids []string
		for _, e := range endpoints {
			ids = append(ids, e.ID)
		}
		return ids
	}

	It("end after the requested time", func() {
		backoffs.Start("a", 3*time.Second)
		Expect(backoffs.Remaining("a")).To(Equal(3 * time.Second))
		Expect(backoffs.Remaining("b")).To(BeZero())
		clock.Advance(2999 * time.Millisecond)
		Expect(backoffs.Remaining("a")).To(Equal(time.Millisecond))
		clock.Advance(time.Millisecond)
		Expect(backoffs.Remaining("a")).To(BeZero())
	})

	It("extend to the later of two ends", func() {
		backoffs.Start("a", 3*time.Second)
		clock.Advance(time.Second)
		backoffs.Start("a", time.Second)
		Expect(backoffs.Remaining("a")).To(Equal(2*time.Second), "a shorter one does not shorten it")
		backoffs.Start("a", 5*time.Second)
		Expect(backoffs.Remaining("a")).To(Equal(5 * time.Second))
	})

	It("exclude endpoints until they end", func() {
		Expect(backoffs.Available(endpoints)).To(Equal(endpoints))
		backoffs.Start("b", time.Second)
		Expect(ids(backoffs.Available(endpoints))).To(HaveExactElements("a", "c"))
		backoffs.Start("a", time.Second)
		backoffs.Start("c", time.Second)
		Expect(backoffs.Available(endpoints)).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(ids(backoffs.Available(endpoints))).To(HaveExactElements("a", "b", "c"))
	})

	It("report the first end if all endpoints have one", func() {
		Expect(backoffs.MinRemaining(nil)).To(BeZero())
		backoffs.Start("a", 3*time.Second)
		backoffs.Start("b", 2*time.Second)
		Expect(backoffs.MinRemaining(endpoints)).To(BeZero(), "one endpoint is available")
		backoffs.Start("c", 4*time.Second)
		Expect(backoffs.MinRemaining(endpoints)).To(Equal(2 * time.Second))
	})

	It("distribute callers over the ends close to the first", func() {
		backoffs.Start("a", 2*time.Second)
		backoffs.Start("b", 2*time.Second+400*time.Millisecond)
		Expect(backoffs.RetryAfter(endpoints, time.Second)).To(BeZero(), "one endpoint is available")
		backoffs.Start("c", time.Minute)
		seen := map[time.Duration]int{}
		for range 200 {
			seen[backoffs.RetryAfter(endpoints, time.Second)]++
		}
		Expect(seen).To(HaveLen(2))
		Expect(seen[2*time.Second]).To(BeNumerically(">", 50))
		Expect(seen[2400*time.Millisecond]).To(BeNumerically(">", 50))
		Expect(backoffs.List()).To(HaveLen(3))
	})

	It("include delays from shared rate limits", func() {
		limits := fixedDelays{"a": time.Second, "b": 3 * time.Second}
		backoffs = notice.NewBackoffs(clock, limits, logging.Discard().For("notice"))
		backoffs.Start("b", 2*time.Second)
		backoffs.Start("c", 2*time.Second)
		Expect(backoffs.Remaining("a")).To(Equal(time.Second))
		Expect(backoffs.Remaining("b")).To(Equal(3 * time.Second))
		Expect(backoffs.Remaining("c")).To(Equal(2 * time.Second))
		Expect(backoffs.Available(endpoints)).To(BeEmpty())
		Expect(backoffs.Limited(endpoints)).To(BeTrue())
		Expect(backoffs.Limited(endpoints[2:])).To(BeFalse())
		delete(limits, "a")
		Expect(ids(backoffs.Available(endpoints))).To(HaveExactElements("a"))
	})

	It("are removed after they end", func() {
		backoffs.Start("a", time.Second)
		backoffs.Start("b", 2*time.Second)
		clock.Advance(time.Second)
		backoffs.Sweep()
		Expect(backoffs.Count()).To(Equal(1))
		Expect(backoffs.Remaining("b")).To(Equal(time.Second))
	})
})
