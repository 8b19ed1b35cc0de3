package throttle_test

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// fakePeers are peers that all give the same answer.
type fakePeers struct {
	live    []peer.Peer
	leaving bool
	answer  throttle.PermitGrant
	err     error
	asked   []throttle.PermitRequest
	to      []peer.Peer
}

func (o *fakePeers) Self() peer.Peer      { return peer.Peer{Name: "self", FailureDomain: "far"} }
func (o *fakePeers) SelfLeaving() bool    { return o.leaving }
func (o *fakePeers) Live() []peer.Peer    { return o.live }
func (o *fakePeers) Leaving() []peer.Peer { return nil }
func (o *fakePeers) RequestPermits(_ context.Context, to peer.Peer, ask throttle.PermitRequest) (throttle.PermitGrant, error) {
	o.asked, o.to = append(o.asked, ask), append(o.to, to)
	return o.answer, o.err
}

var _ = Describe("calls to a rate-limited endpoint", func() {
	var (
		clock   *clockwork.FakeClock
		table   *throttle.Table
		peers   *fakePeers
		limiter *throttle.Limiter
	)
	near := []peer.Peer{{Name: "a", FailureDomain: "near"}, {Name: "b", FailureDomain: "near"}, {Name: "c", FailureDomain: "far"}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		table = throttle.NewTable(clock, logging.Discard().For("throttle"))
		peers = &fakePeers{}
		limiter = throttle.NewLimiter(table, peers, func(string) string { return "near" }, clock, logging.Discard().For("throttle"))
		// Requests are queued and answered by answerRequests.
		var pending []func()
		limiter.SetHooks(func(ask func()) { pending = append(pending, ask) }, func() float64 { return 0 })
		answerRequests = func() {
			for _, ask := range pending {
				ask()
			}
			pending = nil
		}
	})

	It("are not held up without a limit", func() {
		Expect(limiter.Delay("e")).To(BeZero())
		Expect(limiter.Allow("e")).To(BeTrue())
		Expect(limiter.Any()).To(BeFalse())
	})

	It("are permitted by a single instance only after it has settled", func() {
		limiter.UpdateMembers()
		table.Set("e", 1)
		Expect(limiter.Allow("e")).To(BeFalse())
		Expect(limiter.Delay("e")).To(Equal(throttle.SettleTime + throttle.PermitTTL + time.Second))
		clock.Advance(throttle.SettleTime + throttle.PermitTTL + time.Second)
		Expect(limiter.Delay("e")).To(BeZero())
		Expect(limiter.Allow("e")).To(BeTrue())
		Expect(limiter.Allow("e")).To(BeFalse())
		clock.Advance(time.Hour)
		Expect(limiter.Allow("e")).To(BeTrue())
		Expect(limiter.Allow("e")).To(BeFalse(), "unused capacity does not accumulate")
	})

	It("use permits requested in the endpoint's failure domain, which expire", func() {
		peers.live, peers.answer = near, throttle.PermitGrant{Granted: 1}
		limiter.UpdateMembers()
		table.Set("e", 8)
		Expect(limiter.Delay("e")).To(BeNumerically(">", 0))
		answerRequests()
		Expect(peers.to).To(HaveLen(1))
		Expect(peers.to[0].FailureDomain).To(Equal("near"))
		Expect(limiter.Delay("e")).To(BeZero())
		Expect(limiter.Allow("e")).To(BeTrue())
		Expect(limiter.Allow("e")).To(BeFalse())
		By("requesting more after all were used")
		Expect(limiter.Delay("e")).To(BeNumerically(">", 0))
		answerRequests()
		Expect(peers.asked[1].Wanted).To(Equal(2))
		clock.Advance(throttle.PermitTTL)
		Expect(limiter.Allow("e")).To(BeFalse())
	})

	It("request permits no earlier than the grantor suggested", func() {
		peers.live, peers.answer = near, throttle.PermitGrant{AfterMs: 700}
		limiter.UpdateMembers()
		table.Set("e", 8)
		limiter.Delay("e")
		answerRequests()
		Expect(limiter.Delay("e")).To(Equal(700 * time.Millisecond))
		answerRequests()
		Expect(peers.asked).To(HaveLen(1))
		clock.Advance(700 * time.Millisecond)
		limiter.Delay("e")
		answerRequests()
		Expect(peers.asked).To(HaveLen(2))
	})

	It("are not permitted while the grantor is unreachable", func() {
		peers.live, peers.err = near, errors.New("cut off")
		limiter.UpdateMembers()
		table.Set("e", 8)
		limiter.Delay("e")
		answerRequests()
		Expect(limiter.Delay("e")).To(Equal(2 * time.Second))
		Expect(limiter.Allow("e")).To(BeFalse())
	})

	It("are permitted when the grantor reports that the limit was lifted", func() {
		peers.live, peers.answer = near, throttle.PermitGrant{Lifted: true, AgeMs: 10}
		limiter.UpdateMembers()
		table.Set("e", 8)
		clock.Advance(time.Second)
		limiter.Delay("e")
		answerRequests()
		Expect(limiter.Delay("e")).To(BeZero())
		Expect(limiter.Allow("e")).To(BeTrue())
	})

	It("are not permitted by other instances than the grantor, nor for a lifted limit", func() {
		ask := throttle.PermitRequest{EndpointID: "e", Wanted: 1, PerSecond: 8, AgeMs: 100}
		peers.live = near
		limiter.UpdateMembers()
		clock.Advance(time.Minute)
		Expect(limiter.HandleRequest(ask)).To(Equal(throttle.PermitGrant{AfterMs: 500}))
		table.Clear("e")
		Expect(limiter.HandleRequest(ask)).To(Equal(throttle.PermitGrant{Lifted: true}), "the grantor has the newer report")
	})

	It("are permitted on request, and refused callers get consecutive times to come back", func() {
		ask := throttle.PermitRequest{EndpointID: "e", Wanted: 5, PerSecond: 4, AgeMs: 100}
		limiter.UpdateMembers()
		limiter.HandleRequest(ask)
		clock.Advance(time.Minute)
		Expect(limiter.HandleRequest(ask).Granted).To(Equal(1))
		first, second := limiter.HandleRequest(ask), limiter.HandleRequest(ask)
		Expect(first.Granted).To(BeZero())
		Expect(first.AfterMs).To(BeNumerically("~", 250, 2))
		Expect(second.AfterMs).To(BeNumerically("~", 500, 2))
	})

	It("are permitted by a leaving instance only if there is no other", func() {
		ask := throttle.PermitRequest{EndpointID: "e", Wanted: 1, PerSecond: 8, AgeMs: 100}
		peers.leaving, peers.live = true, near[2:]
		limiter.UpdateMembers()
		clock.Advance(time.Minute)
		Expect(limiter.HandleRequest(ask).Granted).To(BeZero())
		peers.live = nil
		limiter.UpdateMembers()
		limiter.HandleRequest(ask)
		clock.Advance(time.Minute)
		Expect(limiter.HandleRequest(ask).Granted).To(Equal(1))
	})

	It("are limited to the visible share of the recently live instances", func() {
		peers.live = []peer.Peer{{Name: "c", FailureDomain: "far"}}
		limiter.UpdateMembers()
		peers.live = nil
		limiter.UpdateMembers()
		table.Set("e", 1)
		limiter.Delay("e")
		clock.Advance(throttle.SettleTime + throttle.PermitTTL)
		Expect(limiter.Delay("e")).To(Equal(2*time.Second), "half of the limit")
		clock.Advance(3 * time.Hour)
		limiter.UpdateMembers()
		Expect(limiter.Allow("e")).To(BeTrue())
		Expect(limiter.Delay("e")).To(Equal(time.Second), "the record of the other instance expired")
	})
})

// answerRequests answers the pending requests.
var answerRequests func()
