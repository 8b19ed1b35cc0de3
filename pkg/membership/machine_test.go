package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

var _ = Describe("instances that are able to work for others", func() {
	small := membership.Machine{Cores: 0.192, LinkMbps: 20}
	large := membership.Machine{Cores: 0.8, LinkMbps: 200}

	DescribeTable("are those with half of what the ablest has",
		func(machines []membership.Machine, able []bool) {
			Expect(membership.Able(machines)).To(Equal(able))
		},
		Entry("two sizes", []membership.Machine{small, large, small, large}, []bool{false, true, false, true}),
		Entry("one size", []membership.Machine{small, small}, []bool{true, true}),
		Entry("alike", []membership.Machine{large, {Cores: 0.5, LinkMbps: 150}}, []bool{true, true}),
		Entry("a fast link alone is not enough", []membership.Machine{{Cores: 0.192, LinkMbps: 200}, large}, []bool{false, true}),
		Entry("nobody has all", []membership.Machine{{Cores: 0.192, LinkMbps: 200}, {Cores: 0.8, LinkMbps: 20}}, []bool{true, false}),
		Entry("nothing is known", []membership.Machine{{}, {}}, []bool{true, true}),
		Entry("some tell nothing", []membership.Machine{{}, small}, []bool{false, true}),
		Entry("links alone are told", []membership.Machine{{LinkMbps: 20}, {LinkMbps: 200}}, []bool{false, true}),
		Entry("one alone", []membership.Machine{small}, []bool{true}),
		Entry("none", []membership.Machine{}, []bool{}),
	)
})
