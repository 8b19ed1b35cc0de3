package rollout_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

var _ = Describe("a tally of a build with other histogram buckets", func() {
	It("counts excess buckets as the last one, and missing ones as empty", func() {
		longer := make([]int, rollout.Bounds+4)
		longer[0], longer[rollout.Bounds+1], longer[rollout.Bounds+3] = 1, 2, 3
		t := rollout.NewTally()
		t.Include(rollout.Tally{"route": {New: rollout.Side{Answers: 6, Times: longer}, Old: rollout.Side{Answers: 1, Times: []int{1}}}})
		t.Include(rollout.Tally{"route": {New: rollout.Side{Answers: 1, Times: []int{1}}}})
		Expect(t["route"].New.Times).To(HaveLen(rollout.Bounds + 1))
		Expect(t["route"].New.Times[0]).To(Equal(2))
		Expect(t["route"].New.Times[rollout.Bounds]).To(Equal(5))
		Expect(t["route"].New.Timed()).To(Equal(7))
		Expect(t["route"].Old.Timed()).To(Equal(1))
	})
})
