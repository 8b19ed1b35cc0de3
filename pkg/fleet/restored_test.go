package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("orders of a source that was restored from an older copy", func() {
	at := revision.At
	order := func(version string, listedAt revision.Revision) fleet.Rollout {
		return fleet.Rollout{Service: "s", Version: version, OverMs: 9000, Revision: listedAt, At: listedAt}
	}
	rollouts := func(listedAt revision.Revision, orders ...fleet.Rollout) fleet.Rollouts {
		return fleet.Rollouts{Revision: listedAt, Orders: orders}
	}
	evacuations := func(listedAt revision.Revision, domains ...string) fleet.Evacuations {
		return fleet.Evacuations{Revision: listedAt, Domains: domains}
	}

	It("keep a domain evacuated that the copy lacks, until the era is settled or the order is withdrawn", func() {
		s := fleet.New(1, nil).WithEvacuations(evacuations(9, "a", "b"))
		s = s.WithEvacuations(evacuations(at(1, 7), "a"))
		Expect(s.Evacuations().All()).To(Equal([]string{"a", "b"}))
		again := s.WithEvacuations(evacuations(at(1, 9), "a", "b")).WithEvacuations(evacuations(at(1, 10), "a"))
		Expect(again.Evacuations().All()).To(Equal([]string{"a"}))
		Expect(s.WithEvacuations(evacuations(at(2, 7))).Evacuations().All()).To(Equal([]string{"a", "b"}), "a second copy")
		Expect(s.WithoutRetained().Evacuations().All()).To(Equal([]string{"a"}))
	})

	It("evacuate a domain again that the copy still shows, until the withdrawal is written again", func() {
		s := fleet.New(1, nil).WithEvacuations(evacuations(8, "a")).WithEvacuations(evacuations(9))
		s = s.WithEvacuations(evacuations(at(1, 8), "a"))
		Expect(s.Evacuations().All()).To(Equal([]string{"a"}))
		Expect(s.WithEvacuations(evacuations(at(1, 9))).Evacuations().All()).To(BeEmpty())
	})

	It("are told to an instance that starts then", func() {
		s := fleet.New(1, nil).WithEvacuations(evacuations(9, "b")).WithEvacuations(evacuations(at(1, 7)))
		s = s.WithRollouts(rollouts(9, order("v2", 9))).WithRollouts(rollouts(at(1, 7)))
		started := fleet.New(1, nil).WithEvacuations(s.Evacuations()).WithRollouts(s.Rollouts())
		Expect(started.Evacuations().Has("b")).To(BeTrue())
		Expect(started.Rollouts().InForce()).To(HaveLen(1))
		read := fleet.New(1, nil).WithEvacuations(evacuations(at(1, 8))).WithRollouts(rollouts(at(1, 8)))
		read = read.RetainEvacuations(s.Evacuations().Retained).RetainRollouts(s.Rollouts().Retained)
		Expect(read.Evacuations().Has("b")).To(BeTrue())
		Expect(read.Rollouts().InForce()).To(HaveLen(1))
	})

	DescribeTable("remain the same rollout",
		func(listed revision.Revision) {
			s := fleet.New(1, nil).WithRollouts(rollouts(20, order("v2", 9)))
			s = s.WithRollouts(rollouts(at(1, 8)))
			retained, inForce := s.Rollouts().ForService("s")
			Expect(inForce).To(BeTrue())
			Expect(retained.Revision).To(Equal(revision.Revision(9)))
			s = s.WithRollouts(rollouts(at(1, 12), order("v2", listed)))
			known, _ := s.Rollouts().ForService("s")
			Expect(known.Revision).To(Equal(revision.Revision(9)))
			Expect(known.ListedAt()).To(Equal(listed))
			Expect(s.Rollouts().Retained).To(BeEmpty())
			By("a read of all in the same era")
			s = s.WithRollouts(rollouts(at(1, 13), order("v2", listed)))
			known, _ = s.Rollouts().ForService("s")
			Expect(known.Revision).To(Equal(revision.Revision(9)))
			By("an order given anew")
			s = s.WithRollouts(rollouts(at(1, 15), order("v2", at(1, 15))))
			known, _ = s.Rollouts().ForService("s")
			Expect(known.Revision).To(Equal(at(1, 15)))
		},
		Entry("under the old number", at(1, 9)),
		Entry("under another one", at(1, 11)),
	)

	It("are known to an instance that starts then as to the others, once it hears of them", func() {
		s := fleet.New(1, nil).WithRollouts(rollouts(20, order("v2", 9))).WithRollouts(rollouts(at(1, 12), order("v2", at(1, 9))))
		started := fleet.New(1, nil).WithRollouts(rollouts(at(1, 13), order("v2", at(1, 9))))
		started = started.WithRollouts(s.Rollouts())
		known, _ := started.Rollouts().ForService("s")
		Expect(known.Revision).To(Equal(revision.Revision(9)))
		Expect(started.Rollouts().Revision).To(Equal(at(1, 13)))
		back, _ := s.WithRollouts(started.Rollouts()).Rollouts().ForService("s")
		Expect(back.Revision).To(Equal(revision.Revision(9)))
	})

	It("of another version are another rollout", func() {
		s := fleet.New(1, nil).WithRollouts(rollouts(20, order("v2", 9))).WithRollouts(rollouts(at(1, 12), order("v3", at(1, 9))))
		known, _ := s.Rollouts().ForService("s")
		Expect(known.Revision).To(Equal(at(1, 9)))
	})
})
