package balance_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

var _ = Describe("calls that may crash their endpoint", func() {
	var (
		b   *balance.Balancer
		all []fleet.Endpoint
	)

	BeforeEach(func() {
		b = balance.New(clockwork.NewFakeClock(), noBackoffs(clockwork.NewFakeClock()))
		all = nil
		for n := range 18 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", n), FailureDomain: "a", Slots: 4})
		}
	})

	// suspect returns two otherwise identical specs that differ only in the isolation key.
	suspect := func(name string) balance.CallSpec {
		return balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 10}}, Prefer: "e3", IsolationKey: name}
	}

	It("are separated even though the usual selection would pick the same endpoint", func() {
		together := 0
		for n := range 100 {
			one, other := b.Pick(all, suspect(fmt.Sprint("one", n))), b.Pick(all, suspect(fmt.Sprint("other", n)))
			if one.Endpoint.ID == other.Endpoint.ID {
				together++
			}
			one.End(balance.Succeeded, nil)
			other.End(balance.Succeeded, nil)
		}
		Expect(together).To(BeZero(), "the first call is still in flight")
		chosen := map[string]bool{}
		for n := range 100 {
			call := b.Pick(all, suspect(fmt.Sprint(n)))
			chosen[call.Endpoint.ID] = true
			call.End(balance.Succeeded, nil)
		}
		Expect(len(chosen)).To(BeNumerically(">", 12))
	})

	It("use the endpoint with the fewest calls in flight", func() {
		for _, e := range all[1:] {
			b.Pick([]fleet.Endpoint{e}, balance.CallSpec{})
		}
		for n := range 5 {
			call := b.Pick(all, suspect(fmt.Sprint(n)))
			Expect(call.Endpoint.ID).To(Equal("e0"))
			call.End(balance.Succeeded, nil)
		}
	})

	It("avoid excluded endpoints and use an ejected one only as a last resort", func() {
		spec := suspect("one")
		first := b.Pick(all, spec)
		first.End(balance.Unreachable, nil)
		second := b.Pick(all, spec)
		Expect(second.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		spec.Exclude = map[string]bool{}
		for _, e := range all {
			spec.Exclude[e.ID] = e.ID != first.Endpoint.ID
		}
		Expect(b.Pick(all, spec).Endpoint.ID).To(Equal(first.Endpoint.ID))
	})
})
