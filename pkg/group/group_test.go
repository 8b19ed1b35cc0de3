package group_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/group"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

func TestGroup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "group")
}

// network carries heartbeats between groups by their peer addresses.
type network struct {
	clock  *clockwork.FakeClock
	mu     sync.Mutex
	groups map[string]*group.Group
	// sent are the times at which an instance has sent, by its name.
	sent map[string]map[time.Time]bool
	// heard are the addresses that one heartbeat was sent to, by sender: the longest such list.
	heard map[string][]string
}

// forget forgets who heard.
func (n *network) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = map[string][]string{}
}

// heardFrom returns the addresses that one heartbeat of an instance was sent to.
func (n *network) heardFrom(name string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[name]
}

// Broadcast implements group.Transport.
func (n *network) Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent[h.From.Name] == nil {
		n.sent[h.From.Name] = map[time.Time]bool{}
	}
	n.sent[h.From.Name][n.clock.Now()] = true
	if len(to) > len(n.heard[h.From.Name]) {
		n.heard[h.From.Name] = to
	}
	for _, address := range to {
		if g := n.groups[address]; g != nil {
			g.Heard(h, leaving)
		}
	}
}

// beats returns at how many times an instance has sent: each time it may send one heartbeat to those it
// knows and another to those it has just heard of.
func (n *network) beats(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sent[name])
}

var _ = Describe("a group", func() {
	var (
		n     *network
		clock *clockwork.FakeClock
		all   []*group.Group
	)

	// start has so many instances start together, instead of those before.
	start := func(instances int) {
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, heard: map[string][]string{}}
		all = nil
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		for i := range instances {
			self := membership.Instance{Name: fmt.Sprint("i", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", i%4), PeerAddress: fmt.Sprint("a", i)}
			// All know one contact, as from the settings.
			g := group.New(group.Settings{Self: self, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: 3 * time.Second}, n, clock, logging.Discard().For("peers"))
			n.groups[self.PeerAddress] = g
			all = append(all, g)
		}
		for _, g := range all {
			t.Go(func() error { return g.Run(&t) })
		}
	}

	BeforeEach(func() { start(7) })

	// step lets a fifth of a second pass, and waits until instance i1 has sent what it sends
	// then, if it does.
	step := func(beats bool) {
		GinkgoHelper()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), len(all))).To(Succeed())
		before := n.beats("i1")
		clock.Advance(200 * time.Millisecond)
		if beats {
			Eventually(func() int { return n.beats("i1") }).Should(Equal(before + 1))
		}
	}

	It("knows all its members, and hears who leaves", func() {
		for _, g := range all {
			Eventually(func() int {
				clock.Advance(200 * time.Millisecond)
				return len(g.Live())
			}).Should(Equal(len(all) - 1))
		}
		all[0].Leave()
		Eventually(func() int {
			clock.Advance(200 * time.Millisecond)
			return len(all[1].Live())
		}).Should(Equal(len(all) - 2))
	})

	It("tells all members at once of what was decided, also in other failure domains", func() {
		start(24)
		for _, g := range all {
			Eventually(func() int {
				clock.Advance(200 * time.Millisecond)
				return len(g.Live())
			}).Should(Equal(len(all) - 1))
		}
		n.forget()
		all[1].TellAll()
		Eventually(func() []string { return n.heardFrom("i1") }).Should(HaveLen(len(all) - 1))
	})

	It("tells of ends: many at once to all and to who is new, a few with the usual heartbeats", func() {
		var mu sync.Mutex
		asked := map[int]bool{}
		told := func(n int) []quarantine.End {
			mu.Lock()
			defer mu.Unlock()
			asked[n] = true
			return make([]quarantine.End, min(n, 40))
		}
		heard := make(chan int, 1000)
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, heard: map[string][]string{}}
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		teller := group.New(group.Settings{Self: membership.Instance{Name: "teller", PeerAddress: "a0"}, Contacts: []string{"a1"}, Heartbeat: time.Second, SuspectAfter: time.Second, Ends: told}, n, clock, logging.Discard().For("peers"))
		hearer := group.New(group.Settings{Self: membership.Instance{Name: "hearer", PeerAddress: "a1"}, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: time.Second, HeardEnds: func(ends []quarantine.End) { heard <- len(ends) }}, n, clock, logging.Discard().For("peers"))
		n.groups["a0"], n.groups["a1"] = teller, hearer
		t.Go(func() error { return teller.Run(&t) })
		t.Go(func() error { return hearer.Run(&t) })
		next := func() int {
			clock.Advance(200 * time.Millisecond)
			select {
			case n := <-heard:
				return n
			default:
				return 0
			}
		}
		Eventually(next).Should(Equal(32), "greeted")
		Eventually(next).Should(Equal(4), "as usual")
		for len(heard) > 0 {
			<-heard
		}
		teller.TellAll()
		Eventually(heard).Should(Receive(Equal(32)))
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal(map[int]bool{4: true, 32: true}))
	})

	It("tells of endpoints that leave, a few with each heartbeat", func() {
		heard := make(chan []string, 1000)
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, heard: map[string][]string{}}
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		departing := func(n int) []string { return []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:n] }
		teller := group.New(group.Settings{Self: membership.Instance{Name: "teller", PeerAddress: "a0"}, Contacts: []string{"a1"}, Heartbeat: time.Second, SuspectAfter: time.Second, Departing: departing}, n, clock, logging.Discard().For("peers"))
		hearer := group.New(group.Settings{Self: membership.Instance{Name: "hearer", PeerAddress: "a1"}, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: time.Second, HeardDeparting: func(lives []string) { heard <- lives }}, n, clock, logging.Discard().For("peers"))
		n.groups["a0"], n.groups["a1"] = teller, hearer
		t.Go(func() error { return teller.Run(&t) })
		t.Go(func() error { return hearer.Run(&t) })
		Eventually(func() int {
			clock.Advance(200 * time.Millisecond)
			return len(heard)
		}).ShouldNot(BeZero())
		Expect(<-heard).To(Equal([]string{"a", "b", "c", "d", "e", "f", "g", "h"}))
	})

	It("sends heartbeats five times as often at first, and then once a second", func() {
		Eventually(func() int { return n.beats("i1") }).Should(Equal(1))
		for range 20 {
			step(true)
		}
		Eventually(func() int {
			step(false)
			return n.beats("i1")
		}).Should(BeNumerically(">", 21))
		before := n.beats("i1")
		for range 4 {
			step(false)
		}
		Expect(n.beats("i1") - before).To(BeNumerically("<=", 1))
	})
})
