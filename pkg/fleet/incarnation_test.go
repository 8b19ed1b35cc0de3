package fleet_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Guards against calls that are rejected with 421 during a rolling upgrade: an instance without
// support for incarnations forwarded an ID without its entry name, and the receiver used the ID as
// the name.
var _ = Describe("the incarnation of an endpoint, received from instances of other versions", func() {
	received := func(text string) fleet.Endpoint {
		var e fleet.Endpoint
		Expect(json.Unmarshal([]byte(text), &e)).To(Succeed())
		return fleet.RestoreEntry(e)
	}

	DescribeTable("has the name of its endpoint",
		func(text, id, name string) {
			e := received(text)
			Expect(e.ID).To(Equal(id))
			Expect(e.Name()).To(Equal(name))
		},
		Entry("from a version that supports incarnations", `{"id":"a@17","entry":"a"}`, "a@17", "a"),
		Entry("through one that does not support them", `{"id":"a@17"}`, "a@17", "a"),
		Entry("where endpoints do not report their start time", `{"id":"a"}`, "a", "a"),
		Entry("where the name contains the separator", `{"id":"a@b","entry":"a@b"}`, "a@b", "a@b"),
		Entry("... and a start time", `{"id":"a@b@17"}`, "a@b@17", "a@b"),
		Entry("where nothing precedes the separator", `{"id":"@17"}`, "@17", "@17"),
	)

	It("is encoded so that an earlier version can forward it", func() {
		for _, name := range []string{"a", "a@b"} {
			for _, born := range []int64{0, 17} {
				e := fleet.Endpoint{Service: "s"}.WithIncarnation(name, born)
				data, err := json.Marshal(e)
				Expect(err).NotTo(HaveOccurred())
				Expect(received(string(data))).To(Equal(e))
				Expect(e.Name()).To(Equal(name))
			}
		}
	})
})
