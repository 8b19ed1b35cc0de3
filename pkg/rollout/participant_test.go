package rollout_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

var _ = Describe("an instance that takes part in a rollout", func() {
	order := fleet.Rollout{Service: "s", Version: "v2", OverMs: 10_000, Revision: 7}
	var (
		clock *clockwork.FakeClock
		p     *rollout.Participant
	)

	tell := func(i rollout.Instruction) { p.Told(order.Revision, i, clock.Now().Add(time.Second)) }
	standing := func() fleet.RolloutState { return p.Standings()[order.Revision] }
	tried := rollout.Instruction{Exposure: fleet.Tried, Share: 0.06, State: rollout.Running, Step: 1}
	proven := rollout.Instruction{Exposure: fleet.Proven, State: rollout.Running, Step: 4}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = rollout.NewParticipant(clock)
		p.Know([]fleet.Rollout{order})
	})

	It("goes by what it was told for a while, and then withholds the version", func() {
		Expect(standing().Exposure).To(Equal(fleet.Withheld))
		for _, i := range []rollout.Instruction{tried, proven} {
			tell(i)
			Expect(standing()).To(Equal(fleet.RolloutState{Exposure: i.Exposure, Share: i.Share}))
			clock.Advance(1001 * time.Millisecond)
			Expect(standing().Exposure).To(Equal(fleet.Withheld))
		}
	})

	It("keeps for good that a version is bad, whatever it is told but that the rollout was completed", func() {
		tell(rollout.Instruction{Exposure: fleet.Refuted, State: rollout.Reverted})
		tell(tried)
		clock.Advance(time.Hour)
		Expect(standing().Exposure).To(Equal(fleet.Refuted))
		Expect(p.Ended(order.Revision)).To(BeFalse(), "operators have not been told")
		tell(rollout.Instruction{Exposure: fleet.Proven, State: rollout.Completed, Recorded: true})
		tell(tried)
		clock.Advance(time.Hour)
		Expect(standing().Exposure).To(Equal(fleet.Proven))
		Expect(p.Ended(order.Revision)).To(BeTrue())
	})

	It("tells the step that it was told, also after a conductor that knows of none", func() {
		tell(proven)
		tell(rollout.Instruction{})
		r, ok := p.Report(order.Revision)
		Expect(ok).To(BeTrue())
		Expect(r.Step).To(Equal(4))
	})

	It("is clear when nothing of its is under way at other versions, once all goes to the new one", func() {
		report := func() rollout.Report { r, _ := p.Report(order.Revision); return r }
		fixed := p.Begin(fleet.Endpoint{Service: "s", Version: "v1"}, false)
		resumable := p.Begin(fleet.Endpoint{Service: "s", Version: "v1"}, true)
		p.Begin(fleet.Endpoint{Service: "s", Version: "v2"}, false)
		p.Begin(fleet.Endpoint{Service: "t", Version: "v1"}, false)
		tell(proven)
		Expect(report()).To(SatisfyAll(HaveField("Clear", false), HaveField("Movable", false)))
		fixed.End(nil)
		Expect(report()).To(SatisfyAll(HaveField("Clear", false), HaveField("Movable", true)))
		resumable.End(nil)
		Expect(report()).To(SatisfyAll(HaveField("Clear", true), HaveField("Movable", true)))
		clock.Advance(2 * time.Second)
		Expect(report().Clear).To(BeFalse(), "it may send there again")
	})

	It("waits for word of an order for a while only", func() {
		Expect(p.Awaits(order)).To(BeTrue())
		Expect(p.Awaits(fleet.Rollout{Revision: 9})).To(BeTrue(), "it has not looked yet")
		clock.Advance(5 * time.Second)
		Expect(p.Awaits(order)).To(BeFalse())
	})
})
