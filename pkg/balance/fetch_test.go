package balance_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

var _ = Describe("shared prompt parts that engines can fetch", func() {
	var (
		clock    *clockwork.FakeClock
		backoffs *notice.Backoffs
		b        *balance.Balancer
		all      []fleet.Endpoint
		// home is the affinity target of the prompt, and other an engine of the same failure domain.
		home, other fleet.Endpoint
	)

	// prompt has 5,500 shared tokens, whose transfer takes 3.1 ms, and 1,000 of its own.
	prompt := func(subject string) balance.CallSpec {
		return balance.CallSpec{
			Engine: true,
			Parts:  []balance.Part{{ID: "system", Tokens: 500}, {ID: subject, Tokens: 5000}, {ID: "own", Tokens: 1000}},
			Fetch:  balance.Fetch{TokenBytes: 1000, LinkMbps: 40_000},
		}
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		backoffs = noBackoffs(clock)
		b = balance.New(clock, backoffs)
		all = nil
		for n := range 8 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", n), FailureDomain: fmt.Sprint("zone-", n%2), Version: "v1", Slots: 4})
		}
		home = balance.New(clock, noBackoffs(clock)).Pick(all, prompt("s")).Endpoint
		other = all[slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID != home.ID && e.FailureDomain == home.FailureDomain })]
	})

	update := func(id string, change func(*fleet.Endpoint)) {
		change(&all[slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID == id })])
	}
	finish := func(c *balance.Call) {
		c.ResponseStarted()
		c.End(balance.Succeeded, nil)
	}

	// sourceAt returns the ID of the source of a call at an endpoint, empty if it names none.
	sourceAt := func(e fleet.Endpoint, spec balance.CallSpec) string {
		GinkgoHelper()
		spec.Prefer = e.ID
		c := b.Pick(all, spec)
		defer c.End(balance.Canceled, nil)
		if spec.IsolationKey == "" {
			Expect(c.Endpoint.ID).To(Equal(e.ID))
		}
		if c.Source == nil {
			return ""
		}
		return c.Source.ID
	}

	options := func(spec balance.CallSpec) map[string]balance.Option {
		found := map[string]balance.Option{}
		for _, o := range b.Options(all, spec, len(all)) {
			found[o.Endpoint.ID] = o
		}
		return found
	}

	It("are fetched from their affinity target, which all instances agree on", func() {
		Expect(sourceAt(other, prompt("s"))).To(Equal(home.ID))
		b = balance.New(clock, noBackoffs(clock))
		Expect(sourceAt(other, prompt("s"))).To(Equal(home.ID))
	})

	// record makes an endpoint one that is known to have the parts of a prompt.
	record := func(e fleet.Endpoint, spec balance.CallSpec) { finish(b.Pick([]fleet.Endpoint{e}, spec)) }

	type exclusion func(source fleet.Endpoint, spec *balance.CallSpec)
	// exclusions are the reasons not to fetch from an endpoint.
	exclusions := []TableEntry{
		Entry("ejected", exclusion(func(source fleet.Endpoint, _ *balance.CallSpec) {
			b.Pick([]fleet.Endpoint{source}, balance.CallSpec{}).End(balance.Unreachable, nil)
		})),
		Entry("backing off", exclusion(func(source fleet.Endpoint, _ *balance.CallSpec) { backoffs.Start(source.ID, time.Second) })),
		Entry("overdue", exclusion(func(source fleet.Endpoint, _ *balance.CallSpec) {
			b.Pick([]fleet.Endpoint{source}, balance.CallSpec{})
			clock.Advance(5 * time.Second)
		})),
		Entry("cold, so that nothing is cached there", exclusion(func(source fleet.Endpoint, spec *balance.CallSpec) {
			update(source.ID, func(e *fleet.Endpoint) { e.ColdMs, e.ColdRevision = 1000, 1 })
			spec.Cold.PerSecond = 10
		})),
		Entry("in a failure domain that is suspected to be unreachable", exclusion(func(source fleet.Endpoint, _ *balance.CallSpec) {
			c := b.Pick([]fleet.Endpoint{{ID: "sibling", FailureDomain: source.FailureDomain}}, balance.CallSpec{})
			clock.Advance(300 * time.Millisecond)
			c.End(balance.Unreachable, nil)
		})),
		Entry("of another version, whose cache may not be readable", exclusion(func(source fleet.Endpoint, _ *balance.CallSpec) {
			update(source.ID, func(e *fleet.Endpoint) { e.Version = "v2" })
		})),
		Entry("tried already", exclusion(func(source fleet.Endpoint, spec *balance.CallSpec) { spec.Exclude = map[string]bool{source.ID: true} })),
	}

	DescribeTable("are not fetched from their affinity target while it is", func(exclude exclusion) {
		spec := prompt("s")
		exclude(home, &spec)
		Expect(sourceAt(other, spec)).To(BeEmpty())
	}, exclusions)

	DescribeTable("are not fetched from an engine that is known to have them while it is", func(exclude exclusion) {
		spec := prompt("s")
		record(other, prompt("another"))
		Expect(sourceAt(home, spec)).To(Equal(other.ID))
		exclude(other, &spec)
		Expect(sourceAt(home, spec)).To(BeEmpty())
	}, exclusions)

	DescribeTable("name no source when",
		func(change func(spec *balance.CallSpec)) {
			spec := prompt("s")
			change(&spec)
			Expect(sourceAt(other, spec)).To(BeEmpty())
		},
		Entry("the request may crash its endpoint", func(spec *balance.CallSpec) { spec.IsolationKey = "suspect" }),
		Entry("the size of a token is not configured", func(spec *balance.CallSpec) { spec.Fetch.TokenBytes = 0 }),
		Entry("the link is not configured", func(spec *balance.CallSpec) { spec.Fetch.LinkMbps = 0 }),
		Entry("the only part is not shared", func(spec *balance.CallSpec) { spec.Parts = spec.Parts[:1] }),
		Entry("the prompt is unknown", func(spec *balance.CallSpec) { spec.Parts = nil }),
		Entry("the shared parts are too small", func(spec *balance.CallSpec) { spec.Parts[0].Tokens, spec.Parts[1].Tokens = 200, 55 }),
		Entry("the engine is expected to have the shared parts", func(spec *balance.CallSpec) {
			finish(b.Pick([]fleet.Endpoint{other}, *spec))
			spec.Parts[2].ID = "another"
		}),
		Entry("the engine is expected to miss only a small part", func(spec *balance.CallSpec) {
			finish(b.Pick([]fleet.Endpoint{other}, prompt("s")))
			spec.Parts[1].Tokens += 255
		}),
	)

	It("name no source at their affinity target if no other engine is known to have them", func() {
		record(home, prompt("another"))
		Expect(sourceAt(home, prompt("s"))).To(BeEmpty())
	})

	// Guards against repeated prefill of a first part that many prompts share: the affinity target is
	// that of the last shared part.
	It("are fetched at their affinity target from an engine that has the first part", func() {
		record(other, prompt("another"))
		Expect(sourceAt(home, prompt("s"))).To(Equal(other.ID))
		all = []fleet.Endpoint{home, other}
		const rest, transfer = 120 * time.Millisecond, 2100 * time.Microsecond
		Expect(options(prompt("s"))[home.ID].Reading).To(BeNumerically("~", rest+transfer, time.Microsecond))
	})

	It("are fetched from the engine that is known to have the longest prefix", func() {
		third := all[slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID != home.ID && e.ID != other.ID })]
		fourth := all[slices.IndexFunc(all, func(e fleet.Endpoint) bool { return !slices.Contains([]string{home.ID, other.ID, third.ID}, e.ID) })]
		record(other, prompt("another"))
		Expect(sourceAt(home, prompt("s"))).To(Equal(other.ID), "the affinity target itself fetches the first part")
		Expect(sourceAt(third, prompt("s"))).To(Equal(home.ID), "which is expected to have all shared parts")
		record(third, prompt("s"))
		Expect(sourceAt(home, prompt("s"))).To(Equal(third.ID))
		Expect(sourceAt(fourth, prompt("s"))).To(Equal(third.ID))
		Expect(sourceAt(other, prompt("s"))).To(Equal(third.ID))
	})

	It("are fetched from their affinity target if no other engine is known to have enough more", func() {
		record(other, prompt("another"))
		Expect(sourceAt(other, prompt("s"))).To(Equal(home.ID))
		third := all[slices.IndexFunc(all, func(e fleet.Endpoint) bool { return e.ID != home.ID && e.ID != other.ID })]
		record(third, prompt("another"))
		Expect(sourceAt(third, prompt("s"))).To(Equal(home.ID))
		withMiddle := func(spec balance.CallSpec) balance.CallSpec {
			spec.Parts = slices.Insert(spec.Parts, 1, balance.Part{ID: "team", Tokens: 255})
			return spec
		}
		record(other, withMiddle(prompt("another")))
		Expect(sourceAt(third, withMiddle(prompt("s")))).To(Equal(home.ID))
	})

	DescribeTable("are fetched from an engine that is known to have enough more of them", func(first int, fetched bool) {
		spec, another := prompt("s"), prompt("another")
		spec.Parts[0].Tokens, another.Parts[0].Tokens = first, first
		record(other, another)
		Expect(sourceAt(home, spec)).To(Equal(map[bool]string{true: other.ID}[fetched]))
	},
		Entry("255 tokens", 255, false),
		Entry("256 tokens", 256, true),
	)

	// Guards against one engine serving all transfers of a first part that many engines have.
	It("are fetched from different engines, one for each prompt, if several have the same prefix", func() {
		for _, e := range all {
			record(e, prompt("another"))
		}
		sources := map[string]bool{}
		for n := range 20 {
			spec := prompt(fmt.Sprint("s", n))
			added := fleet.Endpoint{ID: "added", Version: "v1"}
			want := balance.New(clock, noBackoffs(clock)).Pick(all, spec).Endpoint.ID
			spec.Prefer = added.ID
			c := b.Pick(append([]fleet.Endpoint{added}, all...), spec)
			Expect(c.Source.ID).To(Equal(want))
			c.End(balance.Canceled, nil)
			sources[want] = true
		}
		Expect(len(sources)).To(BeNumerically(">", 4))
	})

	// Guards against transfers from an endpoint that has been replaced by one with an empty cache.
	It("are not fetched from an engine whose records were dropped", func() {
		record(other, prompt("another"))
		b.Forget(func(id string) bool { return id != other.ID })
		Expect(sourceAt(home, prompt("s"))).To(BeEmpty())
	})

	It("are not fetched from an engine that is known to have them but is no candidate", func() {
		record(other, prompt("another"))
		all = slices.DeleteFunc(all, func(e fleet.Endpoint) bool { return e.ID == other.ID })
		Expect(sourceAt(home, prompt("s"))).To(BeEmpty())
	})

	It("are fetched from 256 tokens, of which the first part counts like the others", func() {
		spec := prompt("s")
		spec.Parts[0].Tokens, spec.Parts[1].Tokens = 200, 56
		Expect(sourceAt(other, spec)).To(Equal(home.ID))
	})

	// Guards against transfers from an endpoint that is gone, leaves or must not hold the prompt: the
	// candidates of a call are ready and in the allowed regions.
	It("are fetched only from candidates", func() {
		all = slices.DeleteFunc(all, func(e fleet.Endpoint) bool { return e.ID == home.ID })
		next := balance.New(clock, noBackoffs(clock)).Pick(all, prompt("s")).Endpoint
		for _, e := range all {
			Expect(sourceAt(e, prompt("s"))).To(Equal(map[bool]string{false: next.ID}[e.ID == next.ID]))
		}
	})

	// Guards against parts being spread at random because a transfer is cheap: a source that was never
	// asked has nothing to fetch.
	It("go first to the engine where they would go without transfers", func() {
		for n := range 20 {
			spec := prompt(fmt.Sprint("s", n))
			chosen := balance.New(clock, noBackoffs(clock)).Pick(all, spec).Endpoint.ID
			spec.Fetch = balance.Fetch{}
			Expect(balance.New(clock, noBackoffs(clock)).Pick(all, spec).Endpoint.ID).To(Equal(chosen))
		}
	})

	// Guards against requests that avoid the affinity target because a transfer is cheap, after which
	// the target has nothing to fetch.
	It("go to their affinity target until its wait outweighs repeated prefill", func() {
		spec := prompt("s")
		finish(b.Pick(all, spec))
		b.Pick([]fleet.Endpoint{home}, balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "long", Tokens: 5000}}})
		c := b.Pick(all, spec)
		Expect(c.Endpoint.ID).To(Equal(home.ID))
		c.End(balance.Canceled, nil)
		b.Pick([]fleet.Endpoint{home}, balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "longer", Tokens: 50_000}}})
		c = b.Pick(all, spec)
		Expect(c.Endpoint.ID).NotTo(Equal(home.ID))
		Expect(c.Source.ID).To(Equal(home.ID))
		finish(c)
		Expect(sourceAt(c.Endpoint, spec)).To(BeEmpty(), "the engine has the parts now")
	})

	It("count as transfer instead of prefill in the expected times", func() {
		all = []fleet.Endpoint{home, other}
		o := options(prompt("s"))[other.ID]
		const own, transfer = 20 * time.Millisecond, 3100 * time.Microsecond
		Expect(o.Reading).To(BeNumerically("~", own+transfer, time.Microsecond))
		b.Pick([]fleet.Endpoint{home}, balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "long", Tokens: 50_000}}})
		estimate, _ := b.Estimate(all, prompt("s"))
		Expect(estimate).To(BeNumerically("~", 60*time.Millisecond+own+transfer, time.Microsecond))
	})

	// costSpread is the fraction by which costs differ at random. A transfer in place of repeated
	// prefill would divide the cost of the other engine by more than ten.
	const costSpread = 0.25

	// Guards against a choice that depends on transfers.
	DescribeTable("cost as much as without transfers while",
		func(change func(spec *balance.CallSpec)) {
			all = []fleet.Endpoint{home, other}
			spec := prompt("s")
			change(&spec)
			with := options(spec)
			spec.Fetch = balance.Fetch{}
			without := options(spec)
			Expect(with).To(HaveLen(len(without)))
			for id, o := range without {
				Expect(with).To(HaveKey(id))
				Expect(with[id].Cost).To(BeNumerically("~", o.Cost, costSpread*float64(o.Cost)))
			}
		},
		Entry("the affinity target can serve as source", func(*balance.CallSpec) {}),
		Entry("the affinity target has the parts", func(spec *balance.CallSpec) { finish(b.Pick([]fleet.Endpoint{home}, *spec)) }),
		Entry("the affinity target is busy", func(*balance.CallSpec) {
			b.Pick([]fleet.Endpoint{home}, balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "long", Tokens: 5000}}})
		}),
		Entry("the other engine has the first part", func(*balance.CallSpec) {
			finish(b.Pick([]fleet.Endpoint{other}, prompt("another")))
		}),
		Entry("the affinity target cannot serve as source", func(*balance.CallSpec) { backoffs.Start(home.ID, time.Second) }),
		Entry("the shared parts are too small", func(spec *balance.CallSpec) { spec.Parts[0].Tokens, spec.Parts[1].Tokens = 200, 55 }),
		Entry("the endpoints are no engines", func(spec *balance.CallSpec) { spec.Engine = false }),
	)

	// Guards against an overflow that would make a transfer look free.
	It("count as a long transfer if it would take forever", func() {
		spec := prompt("s")
		spec.Fetch = balance.Fetch{TokenBytes: 1e300, LinkMbps: 1e-300}
		all = []fleet.Endpoint{home, other}
		Expect(options(spec)[other.ID].Reading).To(BeNumerically(">", time.Second))
	})
})
