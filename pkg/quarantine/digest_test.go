package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

var _ = Describe("a digest", func() {
	of := quarantine.Sum("organisation", "host", "/path?q=1", []byte("body"))

	It("is the same for each attempt of a request", func() {
		Expect(quarantine.Sum("organisation", "host", "/path?q=1", []byte("body"))).To(Equal(of))
	})

	DescribeTable("differs", func(other quarantine.Digest) { Expect(other).NotTo(Equal(of)) },
		Entry("by caller", quarantine.Sum("another", "host", "/path?q=1", []byte("body"))),
		Entry("by host", quarantine.Sum("organisation", "other", "/path?q=1", []byte("body"))),
		Entry("by path", quarantine.Sum("organisation", "host", "/path?q=2", []byte("body"))),
		Entry("by body", quarantine.Sum("organisation", "host", "/path?q=1", []byte("bodies"))),
		Entry("by the boundary between two fields", quarantine.Sum("organisationhost", "", "/path?q=1", []byte("body"))),
		Entry("by the boundary between path and body", quarantine.Sum("organisation", "host", "/path?q=1b", []byte("ody"))),
	)
})
