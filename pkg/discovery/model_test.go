package discovery

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// The model plays followers of one source that tell each other of documents: the news are
// those that the follower's goroutines deliver, and come late, twice, out of order or never.
// What a view claims is checked against the source's own record after each step.

// alone are the peers of a follower whose news the model makes.
type alone struct{ Peers }

func (alone) Announce() {}

// model is a source, and followers of it.
type model struct {
	clock *clockwork.FakeClock
	// revision is the source's, documents the revisions at which it got one; each has the
	// version of its index.
	revision  uint64
	documents []uint64
	// invalid documents compile nowhere.
	invalid map[uint64]bool
	// orders are those to evacuate failure domains, each with the revision of its index in ordered.
	orders  []fleet.Evacuation
	ordered []uint64
	// rollouts are those to move traffic between versions; each has the revision that it was given at.
	rollouts  []fleet.RolloutOrder
	followers []*Follower
	// sent are the news under way.
	sent []delivery
	// told is when a follower was first told, by one who has it, of the newest document that
	// it was told of.
	told []word
}

type delivery struct {
	to   int
	news news
	// has is the revision of a document that its teller has; 0 if it tells none.
	has uint64
}

type word struct {
	revision uint64
	at       time.Time
}

func newModel(followers int) *model {
	m := &model{clock: clockwork.NewFakeClock(), revision: 1, invalid: map[uint64]bool{}}
	for range followers {
		m.start()
	}
	m.told = make([]word, followers)
	return m
}

func (m *model) start() {
	m.followers = append(m.followers, New(nil, alone{}, m.clock, logging.Discard().For("discovery")))
}

// newest is the revision of the newest document as of a revision of the source.
func (m *model) newest(at uint64) (revision uint64) {
	for _, d := range m.documents {
		if d <= at {
			revision = d
		}
	}
	return revision
}

// evacuated are the evacuations as of a revision of the source.
func (m *model) evacuated(at uint64) fleet.Evacuations {
	return fleet.Evacuations{}.With(at, m.ordersAfter(0, at))
}

// ordersAfter are the orders after a revision up to another.
func (m *model) ordersAfter(since, at uint64) []fleet.Evacuation {
	var orders []fleet.Evacuation
	for i, revision := range m.ordered {
		if revision > since && revision <= at {
			orders = append(orders, m.orders[i])
		}
	}
	return orders
}

// rolled are the rollouts as of a revision of the source.
func (m *model) rolled(at uint64) fleet.Rollouts {
	return fleet.Rollouts{}.With(at, m.rolloutsAfter(0, at))
}

func (m *model) rolloutsAfter(since, at uint64) []fleet.RolloutOrder {
	var orders []fleet.RolloutOrder
	for _, order := range m.rollouts {
		if order.Revision > since && order.Revision <= at {
			orders = append(orders, order)
		}
	}
	return orders
}

// order has the operator evacuate a failure domain, or move a service's traffic, or take that back.
func (m *model) order(t *rapid.T) {
	m.revision++
	if rapid.Bool().Draw(t, "a rollout") {
		m.rollouts = append(m.rollouts, fleet.RolloutOrder{
			Rollout: fleet.Rollout{
				Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), Revision: m.revision,
			},
			Ended:   rapid.Bool().Draw(t, "taken back"),
			Refused: rapid.SampledFrom([]string{"", "", "it does not parse"}).Draw(t, "refused"),
		})
		return
	}
	m.ordered = append(m.ordered, m.revision)
	m.orders = append(m.orders, fleet.Evacuation{
		Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
		Ended:  rapid.Bool().Draw(t, "taken back"),
	})
}

func (m *model) table(revision uint64) *route.Table {
	if m.invalid[revision] {
		return nil
	}
	for version, d := range m.documents {
		if d == revision {
			return &route.Table{Version: uint64(version + 1)}
		}
	}
	return nil
}

// write has the source get a document, or change in something else.
func (m *model) write(t *rapid.T) {
	m.revision++
	if rapid.Bool().Draw(t, "a document") {
		m.documents = append(m.documents, m.revision)
		m.invalid[m.revision] = rapid.IntRange(0, 9).Draw(t, "invalid") == 0
	}
}

// ask has a follower's call answered by the source, by a watch or by a reading of all; the answer
// comes later.
func (m *model) ask(t *rapid.T, to int) {
	view := m.followers[to].View()
	n := documentNews{at: m.clock.Now(), from: "source"}
	if newest := m.newest(m.revision); newest > view.Document.Revision {
		n.document = Document{Revision: newest}
		n.table = m.table(newest)
	}
	n.mark = Mark{Revision: max(n.document.Revision, view.Document.Revision), At: m.revision}
	n.orders = orders{at: m.revision}
	if view.knownOrders() > 0 && !rapid.Bool().Draw(t, "all") {
		n.orders.since = view.ordersAt()
	}
	n.orders.given = m.ordersAfter(n.orders.since, m.revision)
	n.orders.rollouts = m.rolloutsAfter(n.orders.since, m.revision)
	m.sent = append(m.sent, delivery{to: to, news: n})
}

// tell has a follower tell another one of its document, by a heartbeat, a mark, or by giving it.
func (m *model) tell(t *rapid.T, from, to int) {
	view, now := m.followers[from].View(), m.clock.Now()
	mark := view.mark(now)
	if mark.Revision == 0 {
		return
	}
	var n news
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		n = rumourNews(mark.Revision)
	case 1:
		n = markNews{mark: mark, at: now.Add(-mark.Age)}
	case 2:
		m.sent = append(m.sent, delivery{to: to, news: documentNews{
			document: view.Document, table: m.table(mark.Revision), mark: mark, at: now.Add(-mark.Age), from: "peer",
		}})
		return
	}
	m.sent = append(m.sent, delivery{to: to, news: n, has: mark.Revision})
}

// deliver has some news come, and loses or keeps them.
func (m *model) deliver(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "news")
	d := m.sent[i]
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		m.sent = append(m.sent[:i], m.sent[i+1:]...)
		return
	case 1:
		// It comes once more later.
	default:
		m.sent = append(m.sent[:i], m.sent[i+1:]...)
	}
	f := m.followers[d.to]
	before := f.View()
	f.apply(d.news)
	if d.has > before.settled() {
		m.told[d.to] = word{d.has, m.clock.Now()}
	}
	m.checkForward(t, d.to, before, f.View())
}

// restart begins a follower's next life.
func (m *model) restart(i int) {
	m.followers[i] = New(nil, alone{}, m.clock, logging.Discard().For("discovery"))
	m.told[i] = word{}
}

func (m *model) checkForward(t *rapid.T, i int, before, after *View) {
	if after.Evacuations().Revision < before.Evacuations().Revision || after.Rollouts().Revision < before.Rollouts().Revision {
		t.Fatalf("follower %d went back from %+v to %+v", i, before.Evacuations(), after.Evacuations())
	}
	if after.Document.Revision < before.Document.Revision || after.DocumentAt < before.DocumentAt {
		t.Fatalf("follower %d went back from %+v to %+v", i, before.mark(m.clock.Now()), after.mark(m.clock.Now()))
	}
	if before.Table != nil && after.Table.Version < before.Table.Version {
		t.Fatalf("follower %d went back from version %d to %d", i, before.Table.Version, after.Table.Version)
	}
}

// check holds what a view claims against the source.
func (m *model) check(t *rapid.T) {
	now := m.clock.Now()
	for i, f := range m.followers {
		view := f.View()
		name := fmt.Sprintf("follower %d with document %d as of %d, refused %d", i, view.Document.Revision, view.DocumentAt, view.refused)
		if view.Document.Revision > 0 && view.DocumentAt < view.Document.Revision {
			t.Fatalf("%s: its document is not as old as it says", name)
		}
		for _, d := range m.documents {
			if d > view.Document.Revision && d <= view.DocumentAt && d > view.refused {
				t.Fatalf("%s: it claims to know all documents, and lacks %d", name, d)
			}
		}
		if e := view.Evacuations(); e.Known() && !e.Same(m.evacuated(e.Revision)) {
			t.Fatalf("%s: it takes %v to be evacuated as of %d, which are %v", name, e.Domains, e.Revision, m.evacuated(e.Revision).Domains)
		}
		if r := view.Rollouts(); r.Known() && !r.Same(m.rolled(r.Revision)) {
			t.Fatalf("%s: it takes %v to be ordered as of %d, which are %v", name, r.Orders, r.Revision, m.rolled(r.Revision).Orders)
		}
		if view.Document.Revision > 0 && view.knownOrders() < view.DocumentAt {
			t.Fatalf("%s: it knows the orders as of %d alone", name, view.knownOrders())
		}
		w := m.told[i]
		if w.revision > view.settled() && now.Sub(w.at) < toldFor {
			lacking, lacks := view.Lacking(now)
			if !lacks {
				t.Fatalf("%s: told of %d, it does not take itself to lack it", name, w.revision)
			}
			if lacking >= behindGrace && !view.Behind(now) {
				t.Fatalf("%s: told of %d, it lacks it for %s and serves", name, w.revision, lacking)
			}
		}
		if view.Behind(now) && m.newest(m.revision) <= view.Document.Revision {
			t.Fatalf("%s: it refuses though there is no newer document", name)
		}
	}
}

// waits are below and above the times after which a follower thinks otherwise; plays is how
// often a hundred random runs are made.
var waits = []time.Duration{100 * time.Millisecond, behindGrace / 2, behindGrace, toldFor / 2, toldFor}

const plays = 20

func playFollowers(t *rapid.T) {
	m := newModel(rapid.IntRange(1, 4).Draw(t, "followers"))
	one := func(what string) int { return rapid.IntRange(0, len(m.followers)-1).Draw(t, what) }
	t.Repeat(map[string]func(*rapid.T){
		"write":   m.write,
		"order":   m.order,
		"ask":     func(t *rapid.T) { m.ask(t, one("who asks")) },
		"tell":    func(t *rapid.T) { m.tell(t, one("who tells"), one("whom")) },
		"deliver": m.deliver,
		"wait":    func(t *rapid.T) { m.clock.Advance(rapid.SampledFrom(waits).Draw(t, "wait")) },
		"restart": func(*rapid.T) { m.restart(one("who restarts")) },
		"":        m.check,
	})
}

var _ = Describe("followers that tell each other of documents, evacuations and rollouts", func() {
	It("claim what is so, never go back, and refuse when they lack what others have", func() {
		for range plays {
			rapid.Check(GinkgoT(), playFollowers)
		}
	})
})
