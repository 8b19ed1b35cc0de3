package fleet_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// While instances were replaced by a later build, calls to sound endpoints were answered as calls for others
// (421). The order of events: an instance that knows lives told an endpoint to one that does not, as a life's ID
// with the name beside it; that one dropped the name, which it does not know, and told the ID on; the third took
// the ID for the name. The evidence: the calls were for endpoints that were there, and named them by the ID of
// their life; no such call was made where all instances were of one build.
var _ = Describe("the life of an endpoint, told by instances of other builds", func() {
	told := func(text string) fleet.Endpoint {
		var e fleet.Endpoint
		Expect(json.Unmarshal([]byte(text), &e)).To(Succeed())
		return fleet.Told(e)
	}

	DescribeTable("has the name of its endpoint",
		func(text, id, name string) {
			e := told(text)
			Expect(e.ID).To(Equal(id))
			Expect(e.Name()).To(Equal(name))
		},
		Entry("from a build that knows lives", `{"id":"a@17","entry":"a"}`, "a@17", "a"),
		Entry("through one that does not", `{"id":"a@17"}`, "a@17", "a"),
		Entry("where endpoints do not tell when they started", `{"id":"a"}`, "a", "a"),
		Entry("where the name itself has the mark", `{"id":"a@b","entry":"a@b"}`, "a@b", "a@b"),
		Entry("... and a moment", `{"id":"a@b@17"}`, "a@b@17", "a@b"),
		Entry("where nothing stands before the mark", `{"id":"@17"}`, "@17", "@17"),
	)

	It("is told so that an earlier build can pass it on", func() {
		for _, name := range []string{"a", "a@b"} {
			for _, born := range []int64{0, 17} {
				e := fleet.Endpoint{Service: "s"}.Life(name, born)
				data, err := json.Marshal(e)
				Expect(err).NotTo(HaveOccurred())
				Expect(told(string(data))).To(Equal(e))
				Expect(e.Name()).To(Equal(name))
			}
		}
	})
})
