package reach_test

import (
	"bytes"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

var _ = Describe("the log of unreached endpoints", func() {
	var (
		clock   *clockwork.FakeClock
		out     *bytes.Buffer
		tracker *reach.Tracker
	)
	all := func(string) bool { return true }

	BeforeEach(func() {
		clock, out = clockwork.NewFakeClock(), &bytes.Buffer{}
		tracker = newTracker(clock, out)
	})

	It("counts the endpoints of a failure domain that were reached and those that were not", func() {
		tracker.Connected("zone-a", "one")
		tracker.Failed("zone-a", "two")
		tracker.Failed("zone-a", "three")
		clock.Advance(time.Second)
		tracker.Sweep(all)
		Expect(out.String()).To(ContainSubstring("domain=zone-a event=reach longest_ms=1000 reached=1 unreached=2"))
		Expect(tracker.Unreached()).To(Equal(2))
	})

	It("has one event for each change", func() {
		tracker.Failed("zone-a", "one")
		tracker.Sweep(all)
		tracker.Failed("zone-a", "one")
		tracker.Sweep(all)
		Expect(bytes.Count(out.Bytes(), []byte("event=reach"))).To(Equal(1))
		tracker.Connected("zone-a", "one")
		tracker.Sweep(all)
		Expect(out.String()).To(ContainSubstring("unreached=0"))
	})

	It("forgets endpoints that no longer exist", func() {
		tracker.Failed("zone-a", "one")
		tracker.Sweep(func(string) bool { return false })
		Expect(tracker.Unreached()).To(BeZero())
	})
})

var _ = Describe("the path to an endpoint", func() {
	var (
		clock   *clockwork.FakeClock
		tracker *reach.Tracker
	)
	path := func(endpoint string) reach.Path { return tracker.Path("zone-a", endpoint) }
	tunneled := func(endpoint string) {
		tracker.Failed("zone-a", endpoint)
		tracker.TunnelConnected("zone-a", endpoint)
	}
	unreached := func(endpoint string) {
		tracker.Failed("zone-a", endpoint)
		tracker.TunnelFailed("zone-a", endpoint)
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		tracker = newTracker(clock, GinkgoWriter)
	})

	It("leads through other instances where only these connect", func() {
		tunneled("one")
		Expect(path("one")).To(Equal(reach.Tunneled))
		Expect(path("two")).To(Equal(reach.Direct), "a single endpoint says nothing of others")
		tunneled("two")
		Expect(path("three")).To(Equal(reach.Tunneled))
		Expect(tracker.Path("zone-b", "four")).To(Equal(reach.Direct))
	})

	It("is direct again for all of a failure domain after one direct connection", func() {
		tunneled("one")
		tunneled("two")
		clock.Advance(time.Second)
		tracker.Connected("zone-a", "three")
		for _, endpoint := range []string{"one", "two", "three"} {
			Expect(path(endpoint)).To(Equal(reach.Direct))
		}
	})

	It("is none only for endpoints that were tried", func() {
		unreached("one")
		unreached("two")
		Expect(path("one")).To(Equal(reach.None))
		Expect(path("three")).To(Equal(reach.Direct), "two endpoints that have failed must not hide a sound one")
		Expect(tracker.ProbeCandidates()).To(ConsistOf(HaveField("All", true)))
	})

	It("is tried again some time after all paths have failed", func() {
		unreached("one")
		clock.Advance(2 * time.Second)
		Expect(path("one")).To(Equal(reach.Direct))
	})

	It("stays none while probes find none to others of its failure domain", func() {
		unreached("one")
		for range 4 {
			unreached("two")
			unreached("three")
			Expect(path("one")).To(Equal(reach.None))
			clock.Advance(time.Second)
		}
		tracker.TunnelConnected("zone-a", "two")
		Expect(path("one")).To(Equal(reach.Direct))
	})

	It("is told to lead to a failure domain again, however long none did", func() {
		var returned []string
		tracker.OnReturn(func(failureDomain string) { returned = append(returned, failureDomain) })
		unreached("one")
		unreached("two")
		clock.Advance(2 * time.Second)
		unreached("one")
		tracker.Connected("zone-a", "three")
		Expect(returned).To(Equal([]string{"zone-a"}))
		tracker.Connected("zone-a", "one")
		Expect(returned).To(HaveLen(1))
	})

	It("does not tell a failed endpoint from a failed link while nothing else in the failure domain was reached", func() {
		unreached("one")
		Expect(tracker.Isolated("zone-a", "one")).To(BeFalse())
		Expect(tracker.Isolated("zone-a", "two")).To(BeTrue())
		clock.Advance(time.Second)
		tracker.Connected("zone-a", "three")
		Expect(tracker.Isolated("zone-a", "two")).To(BeFalse())
	})
})
