package route_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var _ = Describe("a table of routes", func() {
	target := []route.Target{{Service: "s", Weight: 1}}
	services := []route.Service{{Name: "s"}, {Name: "t"}, {Name: "p", Batching: &route.Batching{Size: 4}}}

	compile := func(routes ...route.Route) *route.Table {
		GinkgoHelper()
		table, err := route.Compile(route.Config{Routes: routes, Services: services})
		Expect(err).NotTo(HaveOccurred())
		return table
	}

	It("finds the longest prefix of the host", func() {
		table := compile(
			route.Route{Name: "short", Host: "H.example", Prefix: "/a/", Targets: target},
			route.Route{Name: "long", Host: "h.example", Prefix: "/a/b/", Targets: target},
			route.Route{Name: "other", Host: "o.example", Prefix: "/", Targets: target},
		)
		name := func(host, path string) string {
			if r := table.Route(host, path); r != nil {
				return r.Name
			}
			return ""
		}
		Expect(name("h.example", "/a/b/c")).To(Equal("long"))
		Expect(name("h.example:8080", "/a/bc")).To(Equal("short"))
		Expect(name("H.EXAMPLE", "/a/")).To(Equal("short"))
		Expect(name("h.example", "/a")).To(BeEmpty())
		Expect(name("h.example", "/b/")).To(BeEmpty())
		Expect(name("o.example", "/b/")).To(Equal("other"))
		Expect(name("x.example", "/a/")).To(BeEmpty())
	})

	It("splits traffic by weight", func() {
		r := route.Route{Targets: []route.Target{{"s", 90}, {"t", 10}, {"u", 0}}}
		counts := map[string]int{}
		for n := range uint64(1000) {
			counts[r.Target(n)]++
		}
		Expect(counts).To(Equal(map[string]int{"s": 900, "t": 100}))
	})

	It("requires keys only if there are organisations and the route is not public", func() {
		open := compile(route.Route{Name: "r", Host: "h", Prefix: "/", Targets: target})
		Expect(open.NeedsKey(open.Route("h", "/"))).To(BeFalse())
		table, err := route.Compile(route.Config{
			Routes:        []route.Route{{Host: "h", Prefix: "/", Targets: target}, {Host: "p", Prefix: "/", Targets: target, Public: true}},
			Services:      services,
			Organisations: []route.Organisation{{Name: "gym", Keys: []string{"k"}}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.NeedsKey(table.Route("h", "/"))).To(BeTrue())
		Expect(table.NeedsKey(table.Route("p", "/"))).To(BeFalse())
		Expect(table.Organisation("k").Name).To(Equal("gym"))
		Expect(table.Organisation("")).To(BeNil())
	})

	DescribeTable("rejects an invalid configuration and lists every fault",
		func(r route.Route, fault string) {
			r.Name = "bad"
			_, err := route.Compile(route.Config{Version: 7, Routes: []route.Route{r}, Services: services})
			Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
			Expect(err).To(MatchError(SatisfyAll(ContainSubstring("version 7"), ContainSubstring(`route "bad"`), ContainSubstring(fault))))
		},
		Entry("prefix", route.Route{Prefix: "a", Targets: target}, "slash"),
		Entry("no service", route.Route{Prefix: "/"}, "names no service"),
		Entry("unknown service", route.Route{Prefix: "/", Targets: []route.Target{{"x", 1}}}, `service "x"`),
		Entry("stage of a service that does not process pieces", route.Route{Prefix: "/", Targets: target, Stages: []route.Stage{{Service: "s"}}}, "does not process pieces"),
		Entry("stage that reads itself", route.Route{Prefix: "/", Targets: target, Stages: []route.Stage{{Service: "p", After: []int{0}}}}, "does not come before"),
	)

	DescribeTable("rejects a negative transfer figure of an engine, which would make every transfer look free",
		func(e route.Engine, fault string) {
			_, err := route.Compile(route.Config{Version: 7, Services: []route.Service{{Name: "s", Engine: &e}}})
			Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
			Expect(err).To(MatchError(SatisfyAll(ContainSubstring("version 7"), ContainSubstring(`service "s"`), ContainSubstring(fault))))
		},
		Entry("bytes per token", route.Engine{TokenBytes: -1, LinkMbps: 1}, "bytes per KV-cache token -1 is negative"),
		Entry("link", route.Engine{TokenBytes: 1, LinkMbps: -0.5}, "link rate -0.5 is negative"),
	)

	It("reports which requests may be retried", func() {
		Expect((&route.Route{Kind: route.Idempotent}).Repeatable()).To(BeTrue())
		Expect((&route.Route{Kind: route.AtMostOnce}).Repeatable()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream}).Repeatable()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream, Resume: true}).Repeatable()).To(BeTrue())
	})
})
