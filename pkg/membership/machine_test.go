package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

var _ = Describe("capable machines", func() {
	small := membership.Machine{Cores: 0.192, LinkMbps: 20}
	large := membership.Machine{Cores: 0.8, LinkMbps: 200}

	DescribeTable("have at least half of the largest capacity",
		func(machines []membership.Machine, able []bool) {
			Expect(membership.Capable(machines)).To(Equal(able))
		},
		Entry("two sizes", []membership.Machine{small, large, small, large}, []bool{false, true, false, true}),
		Entry("one size", []membership.Machine{small, small}, []bool{true, true}),
		Entry("alike", []membership.Machine{large, {Cores: 0.5, LinkMbps: 150}}, []bool{true, true}),
		Entry("a fast link alone is not enough", []membership.Machine{{Cores: 0.192, LinkMbps: 200}, large}, []bool{false, true}),
		Entry("no machine has the most of both", []membership.Machine{{Cores: 0.192, LinkMbps: 200}, {Cores: 0.8, LinkMbps: 20}}, []bool{true, false}),
		Entry("nothing is known", []membership.Machine{{}, {}}, []bool{true, true}),
		Entry("some are not known", []membership.Machine{{}, small}, []bool{false, true}),
		Entry("only links known", []membership.Machine{{LinkMbps: 20}, {LinkMbps: 200}}, []bool{false, true}),
		Entry("single machine", []membership.Machine{small}, []bool{true}),
		Entry("no machines", []membership.Machine{}, []bool{}),
	)
})
