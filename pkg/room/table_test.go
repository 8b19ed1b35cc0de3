package room_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/room"
)

// group implements room.Group.
type group struct {
	self    string
	others  []string
	settled bool
}

func (g *group) Self() string     { return g.self }
func (g *group) Others() []string { return g.others }
func (g *group) Settled() bool    { return g.settled }

func exists(string) bool { return true }

// tables returns the tables of n instances that know each other.
func tables(n int, clock clockwork.Clock) []*room.Table {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("instance-%d", i))
	}
	var list []*room.Table
	for i := range n {
		t := room.NewTable(&group{self: names[i], others: append(append([]string{}, names[:i]...), names[i+1:]...), settled: true}, clock, logging.Discard().For("room"))
		t.Sweep(exists)
		list = append(list, t)
	}
	return list
}

var _ = Describe("the allowances of all instances", func() {
	DescribeTable("add up to the slots of each endpoint", func(instances, slots int) {
		list := tables(instances, clockwork.NewFakeClock())
		for e := range 20 {
			sum := 0
			for _, t := range list {
				a := t.Allowance(fmt.Sprintf("e%d", e), slots, 1<<20)
				Expect(a.Spacing).To(BeZero())
				sum += a.InFlight
			}
			Expect(sum).To(Equal(slots))
		}
	},
		Entry(nil, 1, 8), Entry(nil, 3, 4), Entry(nil, 6, 64), Entry(nil, 7, 6), Entry(nil, 74, 16),
	)

	It("let each instance call an endpoint now and then where there are fewer slots than instances", func() {
		for _, t := range tables(74, clockwork.NewFakeClock()) {
			a := t.Allowance("e", 6, 18)
			Expect(a.InFlight).To(Equal(1))
			Expect(a.Spacing).To(BeNumerically(">=", 74.0/6))
		}
	})

	It("are one call for an instance that may not know the others", func() {
		t := room.NewTable(&group{self: "new"}, clockwork.NewFakeClock(), logging.Discard().For("room"))
		Expect(t.Allowance("e", 64, 64)).To(Equal(room.Allowance{InFlight: 1}))
	})
})

var _ = Describe("what endpoints say of their room", func() {
	var t *room.Table

	BeforeEach(func() { t = tables(6, clockwork.NewFakeClock())[0] })

	It("limits all of a service while one of them says that it is brittle", func() {
		t.SetBrittle("model", "one", 6)
		t.SetBrittle("model", "two", 6)
		Expect(t.Limits("model")).To(BeTrue())
		Expect(t.Limits("other")).To(BeFalse())
		t.SetSound("model", "one")
		Expect(t.Limits("model")).To(BeTrue())
		t.SetSound("model", "two")
		Expect(t.Limits("model")).To(BeFalse())
		Expect(t.Count()).To(BeZero())
	})

	It("is forgotten with the endpoint", func() {
		t.SetBrittle("model", "one", 6)
		t.Sweep(func(string) bool { return false })
		Expect(t.Limits("model")).To(BeFalse())
		Expect(t.Count()).To(BeZero())
	})

	It("sets how long an endpoint rests that has rejected a call", func() {
		t.SetBrittle("model", "one", 6)
		Expect(t.Rest("model", "one")).To(Equal(2 * time.Second))
		Expect(t.Rest("model", "silent")).To(Equal(2*time.Second), "as the least of its service")
		t.SetBrittle("model", "one", 0)
		Expect(t.Rest("model", "one")).To(Equal(5 * time.Second))
		t.SetBrittle("model", "one", 1000)
		Expect(t.Rest("model", "one")).To(Equal(200 * time.Millisecond))
	})
})
