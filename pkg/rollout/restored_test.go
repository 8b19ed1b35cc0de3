package rollout_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// restore brings the store back from a copy that lacks the record and lists the order in the next era,
// under the same number or, written again, under another one.
func (m *model) restore(number uint64) {
	era := m.revision.Era() + 1
	at := revision.At(era, number)
	m.record, m.revision = rollout.Record{}, at
	order := m.ordered.Orders[0]
	order.Revision, order.At = at, at
	m.ordered = fleet.Rollouts{Revision: at, Orders: []fleet.Rollout{order}}
	for _, i := range m.instances {
		i.snapshot = i.snapshot.WithRollouts(m.ordered)
	}
}

var _ = Describe("a rollout whose store comes back from an older copy", func() {
	const perSecond = 20

	DescribeTable("has its verdict written again, and stays as it is",
		func(bad behaviour, state rollout.State, number uint64) {
			m := newModel(1, 6)
			m.bad = bad
			m.run(time.Second, perSecond)
			m.order()
			m.run(over+time.Second, perSecond)
			Expect(m.record.State).To(Equal(state))
			for range 2 {
				arrived, all := m.arrived, m.all
				m.restore(number)
				m.run(4*time.Second, perSecond)
				Expect(m.record.State).To(Equal(state))
				if state == rollout.Reverted {
					Expect(m.arrived).To(Equal(arrived))
				} else {
					Expect(m.arrived - arrived).To(Equal(m.all - all))
				}
			}
		},
		Entry("reverted, the order in the copy", badVersions[0], rollout.Reverted, uint64(orderAt)),
		Entry("reverted, the order written again", badVersions[0], rollout.Reverted, uint64(orderAt)-2),
		Entry("completed, the order in the copy", behaviour{route: -1}, rollout.Completed, uint64(orderAt)),
		Entry("completed, the order written again", behaviour{route: -1}, rollout.Completed, uint64(orderAt)+3),
	)

	It("stays completed when it turns bad afterwards, also under a new conductor", func() {
		m := newModel(1, 6)
		m.bad = behaviour{route: -1}
		m.run(time.Second, perSecond)
		m.order()
		m.run(over+time.Second, perSecond)
		Expect(m.record.State).To(Equal(rollout.Completed))
		m.bad = badVersions[1]
		m.run(4*time.Second, perSecond)
		m.restore(uint64(orderAt) - 2)
		m.run(4*time.Second, perSecond)
		Expect(m.record.State).To(Equal(rollout.Completed))
		m.restore(uint64(orderAt) - 1)
		for n := range m.instances[:5] {
			m.instances[n] = m.start(m.instances[n].name, 2)
		}
		m.run(4*time.Second, perSecond)
		Expect(m.record.State).To(Equal(rollout.Completed))
	})

	It("has its verdict written again by others if all that conducted it are gone", func() {
		m := newModel(1, 6)
		m.bad = badVersions[0]
		m.order()
		m.run(over, perSecond)
		arrived := m.arrived
		m.restore(uint64(orderAt) - 2)
		for n := range m.instances[:5] {
			m.instances[n] = m.start(m.instances[n].name, 2)
		}
		m.run(4*time.Second, perSecond)
		Expect(m.record.State).To(Equal(rollout.Reverted))
		Expect(m.arrived).To(Equal(arrived))
	})

	It("goes on from where it was, and completes a good version in time", func() {
		m := newModel(3, 6)
		m.bad = behaviour{route: -1}
		m.run(time.Second, 40)
		m.order()
		m.run(over/2, 40)
		Expect(m.arrived).NotTo(BeZero())
		m.restore(uint64(orderAt) - 2)
		m.run(over/2+time.Second, 40)
		Expect(m.record.State).To(Equal(rollout.Completed))
		Expect(m.lateOldRequests).To(BeZero())
	})

	It("gives a bad version no more than its share, whenever the store comes back older", func() {
		for seed := range uint64(20) {
			m := newModel(seed, 12)
			m.bad = badVersions[int(seed)%len(badVersions)]
			m.run(time.Second, perSecond)
			m.order()
			m.run(time.Duration(m.random.IntN(int(over/time.Second)))*time.Second, perSecond)
			m.restore(uint64(orderAt) - seed%3)
			m.run(over, perSecond)
			m.check()
			Expect(m.record.State).To(Equal(rollout.Reverted), "seed %d", seed)
		}
	})
})
