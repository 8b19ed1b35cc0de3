package rollout_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

var _ = Describe("a participant of a rollout", func() {
	order := fleet.Rollout{Service: "s", Version: "v2", OverMs: 10_000, Revision: 7}
	var (
		clock *clockwork.FakeClock
		p     *rollout.Participant
	)

	tell := func(i rollout.Instruction) { p.SetInstruction(order.Revision, i, clock.Now().Add(time.Second)) }
	standing := func() fleet.RolloutState { return p.Standings()[order.Revision] }
	tried := rollout.Instruction{Exposure: fleet.Tried, Share: 0.06, State: rollout.Running, Step: 1}
	proven := rollout.Instruction{Exposure: fleet.Proven, State: rollout.Running, Step: 4}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = rollout.NewParticipant(clock)
		p.SetOrders([]fleet.Rollout{order})
	})

	It("applies an instruction until it expires, and then withholds the version", func() {
		Expect(standing().Exposure).To(Equal(fleet.Withheld))
		for _, i := range []rollout.Instruction{tried, proven} {
			tell(i)
			Expect(standing()).To(Equal(fleet.RolloutState{Exposure: i.Exposure, Share: i.Share}))
			clock.Advance(1001 * time.Millisecond)
			Expect(standing().Exposure).To(Equal(fleet.Withheld))
		}
	})

	It("keeps a version refuted unless the rollout is recorded as completed", func() {
		tell(rollout.Instruction{Exposure: fleet.Refuted, State: rollout.Reverted})
		tell(tried)
		clock.Advance(time.Hour)
		Expect(standing().Exposure).To(Equal(fleet.Refuted))
		Expect(p.Finished(order.Revision)).To(BeFalse(), "not recorded yet")
		tell(rollout.Instruction{Exposure: fleet.Proven, State: rollout.Completed, Recorded: true})
		tell(tried)
		clock.Advance(time.Hour)
		Expect(standing().Exposure).To(Equal(fleet.Proven))
		Expect(p.Finished(order.Revision)).To(BeTrue())
	})

	It("reports its last step, also after a conductor that has none", func() {
		tell(proven)
		tell(rollout.Instruction{})
		r, ok := p.Report(order.Revision)
		Expect(ok).To(BeTrue())
		Expect(r.Step).To(Equal(4))
	})

	It("is clear once all traffic goes to the new version and no calls are in flight at others", func() {
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
		Expect(report().Clear).To(BeFalse(), "it may use the old endpoints again")
	})

	It("awaits the first instruction for a limited time", func() {
		Expect(p.AwaitsInstruction(order)).To(BeTrue())
		Expect(p.AwaitsInstruction(fleet.Rollout{Revision: 9})).To(BeTrue(), "the order is not set yet")
		clock.Advance(5 * time.Second)
		Expect(p.AwaitsInstruction(order)).To(BeFalse())
	})
})
