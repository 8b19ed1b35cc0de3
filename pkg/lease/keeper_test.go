package lease_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra/etcdkv"
	"github.com/cobaltcroft/cobaltcroft/pkg/lease"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// ttl is long compared to a call on a busy machine, since the stand-in expires leases in real time.
const ttl = 3 * time.Second

var _ = Describe("a lease", func() {
	var service *standin.KeyValue
	var address string
	var clockA, clockB *clockwork.FakeClock
	var a, b *lease.Keeper
	ctx := context.Background()

	newKeeper := func(name string) (*lease.Keeper, *clockwork.FakeClock) {
		client := etcdkv.New(address, ttl/5)
		DeferCleanup(client.Close)
		clock := clockwork.NewFakeClock()
		return lease.NewKeeper(client, clock, logging.Discard().For("lease"), "key", name, ttl, func() bool { return true }), clock
	}
	held := func(k *lease.Keeper) bool {
		_, ok := k.Held()
		return ok
	}

	BeforeEach(func() {
		service = standin.NewKeyValue()
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		address = server.URL
		a, clockA = newKeeper("a")
		b, clockB = newKeeper("b")
	})

	It("has one holder at a time, and a higher token for each", func() {
		a.Step(ctx)
		b.Step(ctx)
		Expect(held(a)).To(BeTrue())
		Expect(held(b)).To(BeFalse())
		first, _ := a.Held()
		By("pausing the holder for longer than the TTL, so that the service expires the lease")
		Eventually(func() bool {
			b.Step(ctx)
			return held(b)
		}, 5*ttl, 50*time.Millisecond).Should(BeTrue())
		second, _ := b.Held()
		Expect(second.Token).To(BeNumerically(">", first.Token))
		By("resuming the old holder, whose own clock tells that the lease has expired")
		clockA.Advance(2 * ttl)
		Expect(held(a)).To(BeFalse())
		a.Step(ctx)
		Expect(held(a)).To(BeFalse())
	})

	It("expires for its holder before it expires at the service, unless renewed", func() {
		a.Step(ctx)
		clockA.Advance(ttl * 7 / 10)
		Expect(held(a)).To(BeTrue())
		a.Step(ctx)
		clockA.Advance(ttl * 7 / 10)
		Expect(held(a)).To(BeTrue())
		clockA.Advance(ttl / 5)
		Expect(held(a)).To(BeFalse())
	})

	It("is not usable when renewals fail, and is acquired again after an outage longer than its TTL", func() {
		a.Step(ctx)
		first, _ := a.Held()
		service.SetFaults(standin.KeyValueFaults{Outage: true})
		clockA.Advance(ttl)
		a.Step(ctx)
		Expect(held(a)).To(BeFalse())
		Eventually(service.Leases, 5*ttl).Should(BeZero())
		service.SetFaults(standin.KeyValueFaults{})
		Eventually(func() bool {
			clockA.Advance(ttl)
			a.Step(ctx)
			return held(a)
		}, 5*ttl, 50*time.Millisecond).Should(BeTrue())
		second, _ := a.Held()
		Expect(second.Token).To(BeNumerically(">", first.Token))
	})

	It("is recognised as acquired when the response was lost", func() {
		service.SetFaults(standin.KeyValueFaults{})
		b.Step(ctx) // b's grant goes first, so that the lost response is that of a's swap
		Expect(held(b)).To(BeTrue())
		clockB.Advance(time.Hour)
		Eventually(func() bool {
			service.SetFaults(standin.KeyValueFaults{LoseAnswers: 2})
			a.Step(ctx)
			service.SetFaults(standin.KeyValueFaults{LoseAnswers: 0})
			a.Step(ctx)
			return held(a)
		}, 5*ttl, 20*time.Millisecond).Should(BeTrue())
		Expect(held(b)).To(BeFalse())
	})
})
