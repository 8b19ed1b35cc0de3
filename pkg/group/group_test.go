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

// network delivers heartbeats between groups by their peer addresses.
type network struct {
	clock  *clockwork.FakeClock
	mu     sync.Mutex
	groups map[string]*group.Group
	// sent contains the times at which each instance has sent.
	sent map[string]map[time.Time]bool
	// recipients contains the longest list of addresses that a heartbeat of each sender went to.
	recipients map[string][]string
}

func (n *network) resetRecipients() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recipients = map[string][]string{}
}

// recipientsOf returns the longest list of addresses that a heartbeat of an instance went to.
func (n *network) recipientsOf(name string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recipients[name]
}

// Broadcast implements group.Transport.
func (n *network) Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent[h.From.Name] == nil {
		n.sent[h.From.Name] = map[time.Time]bool{}
	}
	n.sent[h.From.Name][n.clock.Now()] = true
	if len(to) > len(n.recipients[h.From.Name]) {
		n.recipients[h.From.Name] = to
	}
	for _, address := range to {
		if g := n.groups[address]; g != nil {
			g.Heard(h, leaving)
		}
	}
}

// sendTimes returns the number of distinct times at which an instance has sent. It may send one
// heartbeat to known members and another one to newly discovered members at the same time.
func (n *network) sendTimes(name string) int {
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

	// start replaces the current instances by the given number of new ones.
	start := func(instances int) {
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, recipients: map[string][]string{}}
		all = nil
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		for i := range instances {
			self := membership.Instance{Name: fmt.Sprint("i", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", i%4), PeerAddress: fmt.Sprint("a", i)}
			// All instances know one contact, as if from the settings.
			g := group.New(group.Settings{Self: self, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: 3 * time.Second}, n, clock, logging.Discard().For("peers"))
			n.groups[self.PeerAddress] = g
			all = append(all, g)
		}
		for _, g := range all {
			t.Go(func() error { return g.Run(&t) })
		}
	}

	BeforeEach(func() { start(7) })

	// step advances the clock by 200 ms. If wait is set, it waits until instance i1 has sent.
	step := func(wait bool) {
		GinkgoHelper()
		Expect(clock.BlockUntilContext(GinkgoT().Context(), len(all))).To(Succeed())
		before := n.sendTimes("i1")
		clock.Advance(200 * time.Millisecond)
		if wait {
			Eventually(func() int { return n.sendTimes("i1") }).Should(Equal(before + 1))
		}
	}

	It("discovers all members, and learns which of them leave", func() {
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

	It("notifies all members at once, including those in other failure domains", func() {
		start(24)
		for _, g := range all {
			Eventually(func() int {
				clock.Advance(200 * time.Millisecond)
				return len(g.Live())
			}).Should(Equal(len(all) - 1))
		}
		n.resetRecipients()
		all[1].NotifyAll()
		Eventually(func() []string { return n.recipientsOf("i1") }).Should(HaveLen(len(all) - 1))
	})

	It("sends many ends to all members at once and to new ones, and a few with regular heartbeats", func() {
		var mu sync.Mutex
		asked := map[int]bool{}
		ends := func(n int) []quarantine.Crash {
			mu.Lock()
			defer mu.Unlock()
			asked[n] = true
			return make([]quarantine.Crash, min(n, 40))
		}
		heard := make(chan int, 1000)
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, recipients: map[string][]string{}}
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		sender := group.New(group.Settings{Self: membership.Instance{Name: "sender", PeerAddress: "a0"}, Contacts: []string{"a1"}, Heartbeat: time.Second, SuspectAfter: time.Second, Ends: ends}, n, clock, logging.Discard().For("peers"))
		receiver := group.New(group.Settings{Self: membership.Instance{Name: "receiver", PeerAddress: "a1"}, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: time.Second, OnEnds: func(ends []quarantine.Crash) { heard <- len(ends) }}, n, clock, logging.Discard().For("peers"))
		n.groups["a0"], n.groups["a1"] = sender, receiver
		t.Go(func() error { return sender.Run(&t) })
		t.Go(func() error { return receiver.Run(&t) })
		next := func() int {
			clock.Advance(200 * time.Millisecond)
			select {
			case n := <-heard:
				return n
			default:
				return 0
			}
		}
		Eventually(next).Should(Equal(32), "to a new member")
		Eventually(next).Should(Equal(4), "with a regular heartbeat")
		for len(heard) > 0 {
			<-heard
		}
		sender.NotifyAll()
		Eventually(heard).Should(Receive(Equal(32)))
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal(map[int]bool{4: true, 32: true}))
	})

	It("sends a few departing endpoints with each heartbeat", func() {
		heard := make(chan []string, 1000)
		clock = clockwork.NewFakeClock()
		n = &network{clock: clock, groups: map[string]*group.Group{}, sent: map[string]map[time.Time]bool{}, recipients: map[string][]string{}}
		var t tomb.Tomb
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		departing := func(n int) []string { return []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:n] }
		sender := group.New(group.Settings{Self: membership.Instance{Name: "sender", PeerAddress: "a0"}, Contacts: []string{"a1"}, Heartbeat: time.Second, SuspectAfter: time.Second, Departing: departing}, n, clock, logging.Discard().For("peers"))
		receiver := group.New(group.Settings{Self: membership.Instance{Name: "receiver", PeerAddress: "a1"}, Contacts: []string{"a0"}, Heartbeat: time.Second, SuspectAfter: time.Second, OnDeparting: func(lives []string) { heard <- lives }}, n, clock, logging.Discard().For("peers"))
		n.groups["a0"], n.groups["a1"] = sender, receiver
		t.Go(func() error { return sender.Run(&t) })
		t.Go(func() error { return receiver.Run(&t) })
		Eventually(func() int {
			clock.Advance(200 * time.Millisecond)
			return len(heard)
		}).ShouldNot(BeZero())
		Expect(<-heard).To(Equal([]string{"a", "b", "c", "d", "e", "f", "g", "h"}))
	})

	It("sends heartbeats five times as often while joining, and then once a second", func() {
		Eventually(func() int { return n.sendTimes("i1") }).Should(Equal(1))
		for range 20 {
			step(true)
		}
		Eventually(func() int {
			step(false)
			return n.sendTimes("i1")
		}).Should(BeNumerically(">", 21))
		before := n.sendTimes("i1")
		for range 4 {
			step(false)
		}
		Expect(n.sendTimes("i1") - before).To(BeNumerically("<=", 1))
	})
})
