package held_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/held"
)

func TestAnAccountTakesNoMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	a := held.NewAccount(100)
	g.Expect(a.Take(60)).To(BeTrue())
	g.Expect(a.Take(50)).To(BeFalse())
	g.Expect(a.Take(40)).To(BeTrue())
	a.Add(30)
	g.Expect(a.Held()).To(Equal(int64(130)))
	g.Expect(a.Take(0)).To(BeFalse(), "the usage exceeds the limit")
	a.Free(130)
	g.Expect(a.Take(100)).To(BeTrue())
	a.SetLimit(0)
	g.Expect(a.Take(1 << 40)).To(BeTrue())
}

func TestAnAccountOfManyHoldsNothingInTheEnd(t *testing.T) {
	a := held.NewAccount(1000)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range 200 {
				if a.Take(30) {
					a.Free(30)
				}
			}
		})
	}
	group.Wait()
	NewWithT(t).Expect(a.Held()).To(BeZero())
}
