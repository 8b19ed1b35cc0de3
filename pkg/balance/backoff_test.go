package balance_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

var _ = Describe("endpoints that are backing off", func() {
	var (
		clock    *clockwork.FakeClock
		backoffs *notice.Backoffs
		b        *balance.Balancer
	)
	all := []fleet.Endpoint{{ID: "a", FailureDomain: "d"}, {ID: "b", FailureDomain: "d"}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		backoffs = noBackoffs(clock)
		b = balance.New(clock, backoffs)
	})

	DescribeTable("are not selected",
		func(spec balance.CallSpec) {
			backoffs.Start("a", time.Second)
			for range 20 {
				call := b.Pick(all, spec)
				Expect(call.Endpoint.ID).To(Equal("b"))
				call.End(balance.Succeeded, nil)
			}
			Expect(b.Options(all, spec, 2)).To(HaveLen(1))
			clock.Advance(time.Second)
			Expect(b.Options(all, spec, 2)).To(HaveLen(2))
		},
		Entry("by cost", balance.CallSpec{}),
		Entry("by prompt affinity", balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 1}}}),
		Entry("by preference", balance.CallSpec{Prefer: "a"}),
		Entry("by isolation key", balance.CallSpec{IsolationKey: "x"}),
	)

	It("are not used as a last resort, unlike ejected endpoints", func() {
		backoffs.Start("a", 3*time.Second)
		for range 2 {
			b.Pick(all, balance.CallSpec{}).End(balance.Unreachable, nil)
		}
		call := b.Pick(all, balance.CallSpec{})
		Expect(call.Ejected).To(BeTrue())
		Expect(call.Endpoint.ID).To(Equal("b"))
		call.End(balance.Canceled, nil)
		Expect(b.Backoff(all)).To(BeZero())
		backoffs.Start("b", 2*time.Second)
		Expect(b.Pick(all, balance.CallSpec{})).To(BeNil())
		Expect(b.Backoff(all)).To(Equal(2 * time.Second))
		expected, _ := b.Estimate(all, balance.CallSpec{})
		Expect(expected).To(BeZero(), "no endpoint is available")
	})
})
