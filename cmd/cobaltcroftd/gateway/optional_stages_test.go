package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// CONFIG: at the instance that planned them such requests got no answer, at the others a refusal after 2 s.
var _ = Describe("requests that leave out stages", func() {
	var (
		d   *platformtest.Deployment
		all []*instance
	)

	BeforeEach(func() {
		d = deploy(2)
		all = startGroup(d.Address(), 3)
	})

	// setStages gives the staged route other stages, and waits until all instances know them.
	setStages := func(stages ...platformtest.RouteStage) {
		d.Config.Routes[4].Stages = stages
		d.Config.Routes[4].PathPrefix = "/changed/"
		d.PutConfig()
		for _, i := range all {
			Eventually(func() int { return send(i.request(http.MethodPost, "staged", newID(), "")).Status }).Should(Equal(http.StatusNotFound))
		}
	}

	ask := func(i *instance, pieces string) (string, answer) {
		id := newID()
		r := i.request(http.MethodPost, "changed", id, "")
		r.Header.Set("Cobaltcroft-Pieces", pieces)
		r.Header.Set("Cobaltcroft-Piece-Key", "key-of-"+id)
		return id, send(r)
	}

	It("are served at each instance, after a change of the configuration too", func() {
		setStages(platformtest.RouteStage{Service: "first"}, platformtest.RouteStage{Service: "second"}, platformtest.RouteStage{Service: "third", SinceRev: []int{0, 1}, Bytes: 6000})
		var group sync.WaitGroup
		for _, pieces := range []string{"1,1,2", "0,1,2", "1,0,2", "0,2,1"} {
			for range 3 {
				for _, i := range all {
					group.Go(func() {
						defer GinkgoRecover()
						begin := time.Now()
						id, got := ask(i, pieces)
						Expect(got.Status).To(Equal(http.StatusOK), pieces)
						Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
						Expect(d.Runs("model", id)).To(HaveLen(1))
					})
				}
			}
		}
		group.Wait()
	})

	It("are served without any results where they leave out all", func() {
		setStages(platformtest.RouteStage{Service: "first"}, platformtest.RouteStage{Service: "second", SinceRev: []int{0}})
		for _, pieces := range []string{"0,0", "1,0", "0"} {
			for _, i := range all {
				id, got := ask(i, pieces)
				Expect(got.Status).To(Equal(http.StatusOK), pieces)
				Expect(d.Runs("model", id)).To(HaveLen(1))
			}
		}
	})

	It("are refused at once, not run, at each instance, where a stage would have no input", func() {
		setStages(platformtest.RouteStage{Service: "first"}, platformtest.RouteStage{Service: "second", SinceRev: []int{0}}, platformtest.RouteStage{Service: "third", SinceRev: []int{1}})
		for _, pieces := range []string{"0,1,1", "0,0,1", "1,0,1"} {
			for _, i := range all {
				begin := time.Now()
				id, got := ask(i, pieces)
				Expect(got).To(And(HaveField("Status", http.StatusBadRequest), HaveField("Body", ContainSubstring("stage_without_input"))), pieces)
				Expect(got.Header.Get("Retry-After")).To(BeEmpty())
				Expect(time.Since(begin)).To(BeNumerically("<", 500*time.Millisecond))
				Expect(d.Runs("model", id)).To(BeEmpty())
			}
		}
	})
})

// A count of pieces that no sound client sends made an instance plan them, and others wait for it.
var _ = DescribeTable("a request with more pieces than one may have is refused at once, and holds up no others", func(pieces string) {
	d := deploy(2)
	all := startGroup(d.Address(), 3)
	for _, i := range all {
		r := i.staged(newID())
		r.Header.Set("Cobaltcroft-Pieces", pieces)
		begin := time.Now()
		Expect(send(r)).To(And(HaveField("Status", http.StatusBadRequest), HaveField("Body", ContainSubstring("too_many_pieces"))))
		Expect(time.Since(begin)).To(BeNumerically("<", 500*time.Millisecond))
	}
	for _, i := range all {
		Expect(send(i.staged(newID())).Status).To(Equal(http.StatusOK))
	}
},
	Entry("in all", "334,333,333,1"),
	Entry("in one stage", "1,1000000,1,1"),
	Entry("more than memory holds", "2000000000,1,1,1"),
	Entry("more than a sum holds", "9223372036854775807,1,9223372036854775807,1"),
)
