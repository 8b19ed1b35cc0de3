package balance_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// coldPerSecond is the rate limit of a cold endpoint, and coldBound the number of requests that it
// may receive in any one second: 1.5 times the limit plus five.
const (
	coldPerSecond = 10
	coldBound     = 20
)

var _ = Describe("cold endpoints", func() {
	var (
		clock    *clockwork.FakeClock
		b        *balance.Balancer
		all      []fleet.Endpoint
		revision revision.Revision
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, noBackoffs(clock))
		all, revision = nil, 0
		for n := range 6 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprintf("e%d", n), FailureDomain: "a", Slots: 4})
		}
	})

	spec := func(owner bool) balance.CallSpec {
		return balance.CallSpec{
			Engine: true,
			Parts:  []balance.Part{{ID: "system", Tokens: 100}, {ID: "subject", Tokens: 4000}, {ID: "own", Tokens: 10}},
			Cold:   balance.ColdLimit{PerSecond: coldPerSecond, IsOwner: func(string) bool { return owner }},
		}
	}

	// picks makes n calls at 5 ms intervals and counts them per endpoint.
	picks := func(n int, spec balance.CallSpec) map[string]int {
		chosen := map[string]int{}
		for range n {
			if c := b.Pick(all, spec); c != nil {
				chosen[c.Endpoint.ID]++
				c.ResponseStarted()
				c.End(balance.Succeeded, nil)
			}
			clock.Advance(5 * time.Millisecond)
		}
		return chosen
	}

	// setCold updates the entries of the given endpoints.
	setCold := func(lasts time.Duration, endpoints ...int) {
		changed := slices.Clone(all)
		for _, n := range endpoints {
			changed[n].ColdMs, changed[n].ColdRevision = lasts.Milliseconds(), 0
			if lasts > 0 {
				revision++
				changed[n].ColdRevision = revision
			}
		}
		all = changed
	}

	It("receive no calls while others are warm, and are used once warm", func() {
		first := b.Pick(all, spec(true))
		first.ResponseStarted()
		first.End(balance.Succeeded, nil)
		home := first.Endpoint.ID
		cold := slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID == home })
		setCold(2*time.Second, cold)
		Expect(picks(390, spec(true))).NotTo(HaveKey(home))
		for _, option := range b.Options(all, spec(true), 6) {
			Expect(option.Endpoint.ID).NotTo(Equal(home))
		}
		preferring := spec(true)
		preferring.Prefer = home
		Expect(b.Pick(all, preferring).Endpoint.ID).NotTo(Equal(home))
		clock.Advance(100 * time.Millisecond)
		Expect(picks(200, balance.CallSpec{Cold: spec(true).Cold})).To(HaveKey(home))
	})

	It("follow changes of their entries", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4)
		Expect(picks(50, spec(false))).To(HaveKey("e5"))
		setCold(0, 0, 1, 2, 3, 4)
		setCold(time.Minute, 5)
		Expect(picks(50, spec(false))).NotTo(HaveKey("e5"))
	})

	It("become cold when an entry with a new revision repeats the same duration", func() {
		setCold(time.Second, 0)
		Expect(picks(10, balance.CallSpec{Cold: spec(false).Cold})).NotTo(HaveKey("e0"))
		clock.Advance(2 * time.Second)
		Expect(picks(100, balance.CallSpec{Cold: spec(false).Cold})).To(HaveKey("e0"))
		setCold(time.Second, 0)
		Expect(picks(100, balance.CallSpec{Cold: spec(false).Cold})).NotTo(HaveKey("e0"))
	})

	It("include those of a returned failure domain before their entries report it", func() {
		for n := range 3 {
			all[n].Returned = 9
		}
		chosen := picks(400, balance.CallSpec{Cold: spec(true).Cold})
		Expect(chosen).NotTo(Or(HaveKey("e0"), HaveKey("e1"), HaveKey("e2")))
		clock.Advance(time.Second)
		Expect(picks(200, balance.CallSpec{Cold: spec(true).Cold})).To(HaveLen(6))
	})

	It("do not include an endpoint that starts long after its failure domain returned", func() {
		for n := range 3 {
			all[n].Returned = 9
		}
		before := all[:2]
		for n := range before {
			Expect(b.Pick(before[n:n+1], spec(false))).To(BeNil())
		}
		clock.Advance(8 * time.Second)
		Expect(b.Pick(all[2:3], spec(false))).NotTo(BeNil())
	})

	It("receive calls from their warm-up owner while the only warm endpoint is ejected", func() {
		setCold(time.Minute, 1, 2, 3, 4, 5)
		eject := func() { b.Pick(all[:1], spec(true)).End(balance.Unreachable, nil) }
		eject()
		owned := b.Pick(all, spec(true))
		Expect(owned.Endpoint.ID).NotTo(Equal("e0"))
		owned.End(balance.Succeeded, nil)
		Expect(b.Pick(all, spec(false)).Endpoint.ID).To(Equal("e0"), "it is the last resort of others")
	})

	It("receive no calls from instances other than their warm-up owner", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		Expect(picks(100, spec(false))).To(BeEmpty())
	})

	It("receive calls at a limited rate from their warm-up owner when all are cold", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		for _, n := range picks(1000, spec(true)) {
			Expect(n).To(BeNumerically("<=", 21), "4/s for 5 s, plus one")
		}
	})

	It("are treated as warm without a configured limit", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		Expect(picks(100, balance.CallSpec{})).NotTo(BeEmpty())
	})

	It("never exceed their rate limit during restarts and partitions", func() {
		rapid.Check(GinkgoT(), checkColdLimit)
	})
})

// checkColdLimit simulates instances that send to cold endpoints while they restart and their
// failure domains are partitioned, and checks the request rate at each endpoint.
func checkColdLimit(t *rapid.T) {
	const domains = 4
	clock := clockwork.NewFakeClock()
	instances := rapid.IntRange(1, 60).Draw(t, "instances")
	endpoints := []fleet.Endpoint{{ID: "x", ColdMs: time.Hour.Milliseconds(), ColdRevision: 1}, {ID: "y", ColdMs: time.Hour.Milliseconds(), ColdRevision: 2}}
	balancers := make([]*balance.Balancer, instances)
	for n := range balancers {
		balancers[n] = balance.New(clock, noBackoffs(clock))
	}
	// group is the side of the partition that a failure domain is on; joined is when an instance
	// has learnt of the others.
	var group [domains]int
	joined := make([]time.Time, instances)
	name := func(n int) string { return fmt.Sprintf("instance-%d", n) }
	owner := func(n int) func(string) bool {
		return func(endpoint string) bool {
			if clock.Now().Before(joined[n]) {
				return false
			}
			var others []string
			for other := range instances {
				if other != n && group[other%domains] == group[n%domains] {
					others = append(others, name(other))
				}
			}
			return balance.IsWarmupOwner(name(n), others, endpoint)
		}
	}
	arrivals := map[string][]time.Time{}
	send := func(n int) {
		c := balancers[n].Pick(endpoints, balance.CallSpec{Cold: balance.ColdLimit{PerSecond: coldPerSecond, IsOwner: owner(n)}})
		if c == nil {
			return
		}
		id := c.Endpoint.ID
		c.End(balance.Succeeded, nil)
		arrivals[id] = append(arrivals[id], clock.Now())
	}
	t.Repeat(map[string]func(*rapid.T){
		"all send": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "times") {
				for n := range instances {
					send(n)
				}
				clock.Advance(50 * time.Millisecond)
			}
		},
		"partition": func(t *rapid.T) {
			domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
			group[domain] = rapid.IntRange(0, domains-1).Draw(t, "side")
			// Membership changes are detected with a delay.
			clock.Advance(time.Second)
		},
		"restart": func(t *rapid.T) {
			n := rapid.IntRange(0, instances-1).Draw(t, "instance")
			balancers[n] = balance.New(clock, noBackoffs(clock))
			joined[n] = clock.Now().Add(3 * time.Second)
		},
		"": func(t *rapid.T) {
			for id, list := range arrivals {
				for i := coldBound; i < len(list); i++ {
					if list[i].Sub(list[i-coldBound]) <= time.Second {
						t.Fatalf("endpoint %s got more than %d requests in a second", id, coldBound)
					}
				}
			}
		},
	})
}
