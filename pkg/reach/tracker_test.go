package reach_test

import (
	"bytes"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

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
		log := logrus.New()
		log.SetOutput(out)
		tracker = reach.NewTracker(clock, metrics.NewSet(), logrus.NewEntry(log))
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
