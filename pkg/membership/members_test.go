package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

const suspectAfter = 3 * time.Second

var start = time.Unix(1000, 0)

func instance(name, domain string) membership.Instance {
	return membership.Instance{Name: name, Incarnation: 1, FailureDomain: domain, PeerAddress: name}
}

// cluster exchanges heartbeats once a second, except over cut links.
type cluster struct {
	now    time.Time
	names  []string
	nodes  map[string]*membership.Members
	cut    func(from, to string) bool
	down   map[string]bool
	random *rand.Rand
}

func newCluster(domains ...string) *cluster {
	c := &cluster{now: start, nodes: map[string]*membership.Members{}, cut: func(string, string) bool { return false }, down: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2))}
	for i, domain := range domains {
		name := fmt.Sprintf("%s-%d", domain, i)
		c.names = append(c.names, name)
		c.nodes[name] = membership.New(instance(name, domain), suspectAfter, []string{c.names[0]})
	}
	return c
}

func (c *cluster) run(seconds int) {
	for range seconds {
		c.now = c.now.Add(time.Second)
		for _, name := range c.names {
			if !c.down[name] {
				c.sendHeartbeats(name)
			}
		}
	}
}

func (c *cluster) sendHeartbeats(name string) {
	c.nodes[name].Tick(c.now)
	for _, message := range c.nodes[name].Next(c.now, c.random.IntN) {
		for _, address := range message.To {
			if c.nodes[address] != nil && !c.down[address] && !c.cut(name, address) {
				c.nodes[address].Observe(c.now, message.Heartbeat)
			}
		}
	}
}

func (c *cluster) states(of string) map[string]membership.State {
	states := map[string]membership.State{}
	for _, m := range c.nodes[of].List() {
		states[m.Name] = m.State
	}
	return states
}

var _ = Describe("members", func() {
	It("discover each other from one contact", func() {
		c := newCluster("a", "a", "a", "b", "b", "b")
		c.run(10)
		for _, name := range c.names {
			Expect(c.states(name)).To(HaveLen(5))
			Expect(c.states(name)).To(HaveEach(membership.Live))
		}
	})

	It("of all failure domains discover each other", func() {
		var domains []string
		for i := range 40 {
			domains = append(domains, string(rune('a'+i%4)))
		}
		c := newCluster(domains...)
		c.run(30)
		for _, name := range c.names {
			Expect(c.states(name)).To(HaveLen(39), name)
		}
	})

	It("suspect a member that several miss, until it sends heartbeats again", func() {
		c := newCluster("a", "a", "a")
		c.run(5)
		c.down["a-2"] = true
		c.run(6)
		Expect(c.states("a-0")).To(HaveKeyWithValue("a-2", membership.Suspected))
		Expect(c.states("a-1")).To(HaveKeyWithValue("a-2", membership.Suspected))
		c.down["a-2"] = false
		c.run(2)
		Expect(c.states("a-0")).To(HaveKeyWithValue("a-2", membership.Live))
	})

	It("do not suspect a member for one bad link", func() {
		c := newCluster("a", "a", "a")
		c.run(5)
		c.cut = func(from, to string) bool { return from == "a-2" && to == "a-0" }
		c.run(20)
		Expect(c.states("a-0")).To(HaveKeyWithValue("a-2", membership.Live))
	})

	It("do not suspect a member for a flapping link", func() {
		c := newCluster("a", "a", "a")
		c.run(5)
		c.cut = func(from, to string) bool {
			return c.now.Second()%2 == 0 && (from == "a-1" && to == "a-2" || from == "a-2" && to == "a-1")
		}
		for range 20 {
			c.run(1)
			Expect(c.states("a-1")).To(HaveKeyWithValue("a-2", membership.Live))
		}
	})

	It("of a partitioned domain suspect only other domains, and recover", func() {
		c := newCluster("a", "a", "b", "b")
		c.run(8)
		c.cut = func(from, to string) bool { return from[0] != to[0] }
		c.run(15)
		Expect(c.states("a-0")).To(Equal(map[string]membership.State{"a-1": membership.Live, "b-2": membership.Suspected, "b-3": membership.Suspected}))
		c.cut = func(string, string) bool { return false }
		c.run(10)
		Expect(c.states("a-0")).To(HaveEach(membership.Live))
		Expect(c.states("b-3")).To(HaveEach(membership.Live))
	})

	It("of a domain that was partitioned for long are discovered again", func() {
		c := newCluster("a", "a", "b", "b")
		c.run(8)
		c.cut = func(from, to string) bool { return from[0] != to[0] }
		c.run(70)
		Expect(c.states("a-0")).To(HaveLen(1))
		c.cut = func(string, string) bool { return false }
		c.run(10)
		Expect(c.states("a-0")).To(HaveLen(3))
	})

	Context("processing single heartbeats", func() {
		var m *membership.Members
		beat := func(incarnation, sequence uint64) membership.Heartbeat {
			h := membership.Heartbeat{From: instance("x", "a"), Sequence: sequence}
			h.From.Incarnation = incarnation
			return h
		}
		stateOf := func() membership.State { return m.List()[0].State }

		BeforeEach(func() { m = membership.New(instance("self", "a"), suspectAfter, nil) })

		It("keep the leaving state within an incarnation, in any order", func() {
			leaving := beat(1, 5)
			leaving.Leaving = true
			m.Observe(start, leaving)
			m.Observe(start, beat(1, 4))
			m.Observe(start, beat(1, 6))
			Expect(stateOf()).To(Equal(membership.Leaving))
			m.Observe(start, beat(2, 1))
			Expect(stateOf()).To(Equal(membership.Live))
		})

		It("ignore duplicated, reordered and old incarnations' heartbeats", func() {
			newer := beat(2, 7)
			newer.Revision = 9
			m.Observe(start, newer)
			for _, old := range []membership.Heartbeat{beat(2, 7), beat(2, 3), beat(1, 99)} {
				Expect(m.Observe(start.Add(time.Second), old)).To(BeEmpty())
			}
			Expect(m.List()[0].LastHeartbeat).To(Equal(start))
			Expect(m.List()[0].Revision).To(Equal(uint64(9)))
		})

		It("tell a configuration whose revision is lower than the one before, as after a restore of the source", func() {
			first, second := beat(1, 1), beat(1, 2)
			first.Revision, first.ConfigVersion = 1<<40|60, 89
			second.Revision, second.ConfigVersion = 67, 97
			m.Observe(start, first)
			m.Changed()
			m.Observe(start, second)
			Expect(m.Changed()).To(BeTrue())
			Expect(m.List()[0]).To(SatisfyAll(HaveField("Revision", uint64(67)), HaveField("ConfigVersion", uint64(97))))
		})

		It("remove a member whose address another instance uses", func() {
			m.Observe(start, beat(1, 1))
			other := membership.Heartbeat{From: instance("y", "a"), Sequence: 1}
			other.From.PeerAddress = "x"
			m.Observe(start, other)
			Expect(m.List()).To(HaveLen(1))
			Expect(m.List()[0].Name).To(Equal("y"))
		})
	})
})
