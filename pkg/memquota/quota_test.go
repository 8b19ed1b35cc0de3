package memquota_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

func TestQuotaRejectsReservationsOverTheLimit(t *testing.T) {
	g := NewWithT(t)
	q := memquota.NewQuota(100)
	g.Expect(q.TryReserve(60)).To(BeTrue())
	g.Expect(q.TryReserve(50)).To(BeFalse())
	g.Expect(q.TryReserve(40)).To(BeTrue())
	q.Reserve(30)
	g.Expect(q.Used()).To(Equal(int64(130)))
	g.Expect(q.TryReserve(0)).To(BeFalse(), "the usage exceeds the limit")
	q.Release(130)
	g.Expect(q.TryReserve(100)).To(BeTrue())
	q.SetLimit(0)
	g.Expect(q.TryReserve(1 << 40)).To(BeTrue())
}

func TestQuotaIsEmptyAfterConcurrentUse(t *testing.T) {
	q := memquota.NewQuota(1000)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range 200 {
				if q.TryReserve(30) {
					q.Release(30)
				}
			}
		})
	}
	group.Wait()
	NewWithT(t).Expect(q.Used()).To(BeZero())
}
