package throttle_test

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// others are the instances beside one that is tested; they answer each question alike.
type others struct {
	live   []throttle.Peer
	leaves bool
	answer throttle.Grant
	err    error
	asked  []throttle.Ask
	to     []throttle.Peer
}

func (o *others) Self() throttle.Peer      { return throttle.Peer{Name: "self", FailureDomain: "far"} }
func (o *others) Leaves() bool             { return o.leaves }
func (o *others) Live() []throttle.Peer    { return o.live }
func (o *others) Leaving() []throttle.Peer { return nil }
func (o *others) Ask(_ context.Context, to throttle.Peer, ask throttle.Ask) (throttle.Grant, error) {
	o.asked, o.to = append(o.asked, ask), append(o.to, to)
	return o.answer, o.err
}

var _ = Describe("calls to an endpoint that names a limit", func() {
	var (
		clock  *clockwork.FakeClock
		table  *throttle.Table
		peers  *others
		keeper *throttle.Keeper
	)
	near := []throttle.Peer{{Name: "a", FailureDomain: "near"}, {Name: "b", FailureDomain: "near"}, {Name: "c", FailureDomain: "far"}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		table = throttle.NewTable(clock, logging.Discard().For("throttle"))
		peers = &others{}
		keeper = throttle.NewKeeper(table, peers, func(string) string { return "near" }, clock, logging.Discard().For("throttle"))
		// Asks are answered between one look and the next.
		var pending []func()
		keeper.Start(func(ask func()) { pending = append(pending, ask) }, func() float64 { return 0 })
		answerAsks = func() {
			for _, ask := range pending {
				ask()
			}
			pending = nil
		}
	})

	It("are not held up while it names none", func() {
		Expect(keeper.Left("e")).To(BeZero())
		Expect(keeper.Spend("e")).To(BeTrue())
		Expect(keeper.Any()).To(BeFalse())
	})

	It("are granted by the only instance, but not before it would know of others", func() {
		keeper.Look()
		table.Name("e", 1)
		Expect(keeper.Spend("e")).To(BeFalse())
		Expect(keeper.Left("e")).To(Equal(throttle.Settling + throttle.PermitLife + time.Second))
		clock.Advance(throttle.Settling + throttle.PermitLife + time.Second)
		Expect(keeper.Left("e")).To(BeZero())
		Expect(keeper.Spend("e")).To(BeTrue())
		Expect(keeper.Spend("e")).To(BeFalse())
		clock.Advance(time.Hour)
		Expect(keeper.Spend("e")).To(BeTrue())
		Expect(keeper.Spend("e")).To(BeFalse(), "what is not used does not add up")
	})

	It("are asked for at an instance of the endpoint's failure domain, and begin soon or not at all", func() {
		peers.live, peers.answer = near, throttle.Grant{Granted: 1}
		keeper.Look()
		table.Name("e", 8)
		Expect(keeper.Left("e")).To(BeNumerically(">", 0))
		answerAsks()
		Expect(peers.to).To(HaveLen(1))
		Expect(peers.to[0].FailureDomain).To(Equal("near"))
		Expect(keeper.Left("e")).To(BeZero())
		Expect(keeper.Spend("e")).To(BeTrue())
		Expect(keeper.Spend("e")).To(BeFalse())
		By("asking for more when all were used")
		Expect(keeper.Left("e")).To(BeNumerically(">", 0))
		answerAsks()
		Expect(peers.asked[1].Wanted).To(Equal(2))
		clock.Advance(throttle.PermitLife)
		Expect(keeper.Spend("e")).To(BeFalse())
	})

	It("are asked for again when the instance that was asked says so, and not before", func() {
		peers.live, peers.answer = near, throttle.Grant{AfterMs: 700}
		keeper.Look()
		table.Name("e", 8)
		keeper.Left("e")
		answerAsks()
		Expect(keeper.Left("e")).To(Equal(700 * time.Millisecond))
		answerAsks()
		Expect(peers.asked).To(HaveLen(1))
		clock.Advance(700 * time.Millisecond)
		keeper.Left("e")
		answerAsks()
		Expect(peers.asked).To(HaveLen(2))
	})

	It("are not made while the instance that grants them can't be asked", func() {
		peers.live, peers.err = near, errors.New("cut off")
		keeper.Look()
		table.Name("e", 8)
		keeper.Left("e")
		answerAsks()
		Expect(keeper.Left("e")).To(Equal(2 * time.Second))
		Expect(keeper.Spend("e")).To(BeFalse())
	})

	It("are free again when the instance that grants them has heard that the limit is over", func() {
		peers.live, peers.answer = near, throttle.Grant{Lifted: true, AgeMs: 10}
		keeper.Look()
		table.Name("e", 8)
		clock.Advance(time.Second)
		keeper.Left("e")
		answerAsks()
		Expect(keeper.Left("e")).To(BeZero())
		Expect(keeper.Spend("e")).To(BeTrue())
	})

	It("are not granted by an instance that is not the one to do so, nor for a limit that is over", func() {
		ask := throttle.Ask{Life: "e", Wanted: 1, PerSecond: 8, AgeMs: 100}
		peers.live = near
		keeper.Look()
		clock.Advance(time.Minute)
		Expect(keeper.Answer(ask)).To(Equal(throttle.Grant{AfterMs: 500}))
		table.Lift("e")
		Expect(keeper.Answer(ask)).To(Equal(throttle.Grant{Lifted: true}), "it has heard so since")
	})

	It("are granted to those who ask, and those who ask in vain come one after another", func() {
		ask := throttle.Ask{Life: "e", Wanted: 5, PerSecond: 4, AgeMs: 100}
		keeper.Look()
		keeper.Answer(ask)
		clock.Advance(time.Minute)
		Expect(keeper.Answer(ask).Granted).To(Equal(1))
		first, second := keeper.Answer(ask), keeper.Answer(ask)
		Expect(first.Granted).To(BeZero())
		Expect(first.AfterMs).To(BeNumerically("~", 250, 2))
		Expect(second.AfterMs).To(BeNumerically("~", 500, 2))
	})

	It("are left to others by an instance that leaves, unless there is none", func() {
		ask := throttle.Ask{Life: "e", Wanted: 1, PerSecond: 8, AgeMs: 100}
		peers.leaves, peers.live = true, near[2:]
		keeper.Look()
		clock.Advance(time.Minute)
		Expect(keeper.Answer(ask).Granted).To(BeZero())
		peers.live = nil
		keeper.Look()
		keeper.Answer(ask)
		clock.Advance(time.Minute)
		Expect(keeper.Answer(ask).Granted).To(Equal(1))
	})

	It("are fewer where not all instances are seen that lived of late", func() {
		peers.live = []throttle.Peer{{Name: "c", FailureDomain: "far"}}
		keeper.Look()
		peers.live = nil
		keeper.Look()
		table.Name("e", 1)
		keeper.Left("e")
		clock.Advance(throttle.Settling + throttle.PermitLife)
		Expect(keeper.Left("e")).To(Equal(2*time.Second), "half of what it names")
		clock.Advance(3 * time.Hour)
		keeper.Look()
		Expect(keeper.Spend("e")).To(BeTrue())
		Expect(keeper.Left("e")).To(Equal(time.Second), "the other is forgotten")
	})
})

// answerAsks answers the asks under way.
var answerAsks func()
