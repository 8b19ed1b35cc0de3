package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

// startingCluster is a set of instances in several failure domains that start together with three
// contacts. Addresses equal names.
type startingCluster struct {
	members map[string]*membership.Members
	random  *rand.Rand
	now     time.Time
	// sent counts the received heartbeats, named the members listed in them.
	sent, named int
}

func newStartingCluster(instances, domains int) *startingCluster {
	c := &startingCluster{members: map[string]*membership.Members{}, random: rand.New(rand.NewPCG(1, 2)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for n := range instances {
		name := fmt.Sprint("i", n)
		self := membership.Instance{Name: name, Incarnation: 1, FailureDomain: fmt.Sprint("d", n%domains), PeerAddress: name}
		c.members[name] = membership.New(self, 3*time.Second, []string{"i0", "i1", "i2"})
	}
	return c
}

// sendHeartbeats sends one round of heartbeats between all instances.
func (c *startingCluster) sendHeartbeats() {
	var all []membership.Message
	for n := range len(c.members) {
		all = append(all, c.members[fmt.Sprint("i", n)].Next(c.now, c.random.IntN)...)
	}
	for _, m := range all {
		for _, address := range m.To {
			c.members[address].Observe(c.now, m.Heartbeat)
			c.sent++
			c.named += len(m.Known)
		}
	}
	c.now = c.now.Add(200 * time.Millisecond)
}

// shortestList returns the length of the shortest member list.
func (c *startingCluster) shortestList() int {
	least := len(c.members)
	for _, m := range c.members {
		least = min(least, len(m.List()))
	}
	return least
}

var _ = Describe("many instances that start together", func() {
	It("all know each other after seven heartbeats, starting from three contacts", func() {
		c := newStartingCluster(295, 6)
		for range 7 {
			c.sendHeartbeats()
		}
		Expect(c.shortestList()).To(Equal(294))
	})

	It("send long member lists only to new members", func() {
		c := newStartingCluster(295, 6)
		for range 20 {
			c.sendHeartbeats()
		}
		pairs := 295 * 294
		Expect(c.named).To(BeNumerically("<=", 16*pairs+c.sent))
	})

	It("all know each other after eight heartbeats in a cluster of 400", func() {
		c := newStartingCluster(400, 8)
		for range 8 {
			c.sendHeartbeats()
		}
		Expect(c.shortestList()).To(Equal(399))
	})
})
