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
)

// coldPerSecond is what a cold endpoint of these tests bears, and coldBound what it may get in any
// second from all instances together: half as many again, and five.
const (
	coldPerSecond = 10
	coldBound     = 20
)

var _ = Describe("cold endpoints", func() {
	var (
		clock    *clockwork.FakeClock
		b        *balance.Balancer
		all      []fleet.Endpoint
		revision uint64
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, restless(clock))
		all, revision = nil, 0
		for n := range 6 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprintf("e%d", n), FailureDomain: "a", Slots: 4})
		}
	})

	need := func(sponsors bool) balance.Need {
		return balance.Need{
			Engine: true,
			Parts:  []balance.Part{{ID: "system", Tokens: 100}, {ID: "subject", Tokens: 4000}, {ID: "own", Tokens: 10}},
			Cold:   balance.Cold{PerSecond: coldPerSecond, Sponsors: func(string) bool { return sponsors }},
		}
	}

	// picks counts the calls that each endpoint gets of one in each 5 ms.
	picks := func(n int, need balance.Need) map[string]int {
		chosen := map[string]int{}
		for range n {
			if c := b.Pick(all, need); c != nil {
				chosen[c.Endpoint.ID]++
				c.Begun()
				c.End(balance.Well, nil)
			}
			clock.Advance(5 * time.Millisecond)
		}
		return chosen
	}

	// setCold has the entries of some endpoints say how long they are cold.
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

	It("get nothing while others are warm, whatever speaks for them, and are used again when they are warm", func() {
		first := b.Pick(all, need(true))
		first.Begun()
		first.End(balance.Well, nil)
		home := first.Endpoint.ID
		cold := slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID == home })
		setCold(2*time.Second, cold)
		Expect(picks(390, need(true))).NotTo(HaveKey(home))
		for _, option := range b.Options(all, need(true), 6) {
			Expect(option.Endpoint.ID).NotTo(Equal(home))
		}
		preferring := need(true)
		preferring.Prefer = home
		Expect(b.Pick(all, preferring).Endpoint.ID).NotTo(Equal(home))
		clock.Advance(100 * time.Millisecond)
		Expect(picks(200, balance.Need{Cold: need(true).Cold})).To(HaveKey(home))
	})

	It("are warm as soon as their entries say so, and cold again whenever they do", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4)
		Expect(picks(50, need(false))).To(HaveKey("e5"))
		setCold(0, 0, 1, 2, 3, 4)
		setCold(time.Minute, 5)
		Expect(picks(50, need(false))).NotTo(HaveKey("e5"))
	})

	It("are cold once more when an entry says the same as the one before", func() {
		setCold(time.Second, 0)
		Expect(picks(10, balance.Need{Cold: need(false).Cold})).NotTo(HaveKey("e0"))
		clock.Advance(2 * time.Second)
		Expect(picks(100, balance.Need{Cold: need(false).Cold})).To(HaveKey("e0"))
		setCold(time.Second, 0)
		Expect(picks(100, balance.Need{Cold: need(false).Cold})).NotTo(HaveKey("e0"))
	})

	It("are those of a failure domain that has returned, for a while, though no entry tells it yet", func() {
		for n := range 3 {
			all[n].Returned = 9
		}
		chosen := picks(400, balance.Need{Cold: need(true).Cold})
		Expect(chosen).NotTo(Or(HaveKey("e0"), HaveKey("e1"), HaveKey("e2")))
		clock.Advance(time.Second)
		Expect(picks(200, balance.Need{Cold: need(true).Cold})).To(HaveLen(6))
	})

	It("get nothing from an instance that is not their sponsor, though all are cold", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		Expect(picks(100, need(false))).To(BeEmpty())
	})

	It("get what they bear from their sponsor when all are cold", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		for _, n := range picks(1000, need(true)) {
			Expect(n).To(BeNumerically("<=", 21), "four a second for five seconds")
		}
	})

	It("matter only where the configuration bounds what they bear", func() {
		setCold(time.Minute, 0, 1, 2, 3, 4, 5)
		Expect(picks(100, balance.Need{})).NotTo(BeEmpty())
	})

	It("never get more than they bear from all instances together, whoever knows of whom", func() {
		rapid.Check(GinkgoT(), playCold)
	})
})

// playCold has many instances send to endpoints that are all cold, while instances start, end, and are
// cut off from each other by failure domain, and counts what each endpoint gets in any second.
func playCold(t *rapid.T) {
	const domains = 4
	clock := clockwork.NewFakeClock()
	instances := rapid.IntRange(1, 60).Draw(t, "instances")
	endpoints := []fleet.Endpoint{{ID: "x", ColdMs: time.Hour.Milliseconds(), ColdRevision: 1}, {ID: "y", ColdMs: time.Hour.Milliseconds(), ColdRevision: 2}}
	balancers := make([]*balance.Balancer, instances)
	for n := range balancers {
		balancers[n] = balance.New(clock, restless(clock))
	}
	// group is the side of a cut on which a failure domain is; joined is when an instance knows others.
	var group [domains]int
	joined := make([]time.Time, instances)
	name := func(n int) string { return fmt.Sprintf("instance-%d", n) }
	sponsors := func(n int) func(string) bool {
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
			return balance.Sponsors(name(n), others, endpoint)
		}
	}
	arrivals := map[string][]time.Time{}
	send := func(n int) {
		c := balancers[n].Pick(endpoints, balance.Need{Cold: balance.Cold{PerSecond: coldPerSecond, Sponsors: sponsors(n)}})
		if c == nil {
			return
		}
		id := c.Endpoint.ID
		c.End(balance.Well, nil)
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
		"cut": func(t *rapid.T) {
			domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
			group[domain] = rapid.IntRange(0, domains-1).Draw(t, "side")
			// Members are known a while later.
			clock.Advance(time.Second)
		},
		"restart": func(t *rapid.T) {
			n := rapid.IntRange(0, instances-1).Draw(t, "instance")
			balancers[n] = balance.New(clock, restless(clock))
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
