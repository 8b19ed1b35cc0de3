package discovery_test

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
)

// holders are peers that give a document in pieces of a few bytes, each with a fault of its
// own.
type holders struct {
	peersOf
	mu sync.Mutex
	// names are the peers, in the order in which they are asked.
	names []string
	// breaks has the offset from which a peer gives nothing more, spoils the peers that give
	// wrong bytes, busy those that serve others.
	breaks map[string]int
	spoils map[string]bool
	busy   map[string]bool
	// given has the offsets that each peer gave, asked how often each was asked.
	given map[string][]int
	asked map[string]int
}

const smallPiece = 16

func newHolders(s *source, names ...string) *holders {
	return &holders{
		peersOf: peersOf{s}, names: names, breaks: map[string]int{}, spoils: map[string]bool{}, busy: map[string]bool{},
		given: map[string][]int{}, asked: map[string]int{},
	}
}

func (h *holders) Holders(newerThan uint64) []string {
	if h.peersOf.Holders(newerThan) == nil {
		return nil
	}
	return h.names
}

func (h *holders) Piece(ctx context.Context, peer string, selection discovery.PieceSelect) (discovery.Piece, error) {
	whole, err := h.peersOf.Piece(ctx, peer, selection)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[peer]++
	if err != nil || whole.Size == 0 {
		return whole, err
	}
	if h.busy[peer] {
		return discovery.Piece{Mark: whole.Mark, Busy: true}, nil
	}
	piece := whole
	if selection.Digest == whole.Digest && selection.Offset < whole.Size {
		piece.Offset = selection.Offset
	}
	if limit, breaks := h.breaks[peer]; breaks && piece.Offset >= limit {
		return discovery.Piece{}, errOut
	}
	piece.Data = append([]byte(nil), whole.Data[piece.Offset:min(whole.Size, piece.Offset+smallPiece)]...)
	if h.spoils[peer] {
		piece.Data[0]++
	}
	h.given[peer] = append(h.given[peer], piece.Offset)
	return piece, nil
}

func (h *holders) gave(peer string) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]int(nil), h.given[peer]...)
}

var _ = Describe("taking a document from peers", func() {
	var (
		store, others *source
		peers         *holders
		f             *discovery.Follower
	)
	version := func() uint64 {
		if f.View().Table == nil {
			return 0
		}
		return f.View().Table.Version
	}
	// begin starts a follower with version 3 whose source is then out.
	begin := func(names ...string) {
		store, others = &source{}, &source{out: true}
		store.state = state(5, 4, 3)
		peers = newHolders(others, names...)
		f = discovery.New(store, peers, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		Eventually(version).Should(Equal(uint64(3)))
		store.set(func(s *source) { s.out = true })
	}
	newer := func() { others.set(func(s *source) { s.out, s.state = false, state(9, 8, 7) }) }

	It("goes on at another peer where one broke off", func() {
		begin("first", "second")
		peers.breaks["first"] = 2 * smallPiece
		newer()
		f.Heard(8)
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.gave("first")).To(Equal([]int{0, smallPiece}))
		Expect(peers.gave("second")[0]).To(Equal(2 * smallPiece))
	})

	It("asks another peer while one is busy", func() {
		begin("first", "second")
		peers.busy["first"] = true
		newer()
		f.Heard(8)
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.gave("first")).To(BeEmpty())
	})

	It("puts nothing in force whose bytes are not those of its digest", func() {
		begin("first", "second")
		peers.spoils["first"] = true
		newer()
		f.Heard(8)
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.gave("second")[0]).To(BeZero())
	})

	It("reads the source when no peer gives what is known to exist", func() {
		begin("first")
		peers.busy["first"] = true
		newer()
		others.set(func(s *source) { s.relays = []string{"first"} })
		store.set(func(s *source) { s.out, s.state = false, state(9, 8, 7) })
		f.Heard(8)
		Eventually(version).Should(Equal(uint64(7)))
	})

	It("is behind when it lacks what others have for a while, until they fall silent", func() {
		begin("first")
		behind := func() bool { return f.View().Behind(time.Now()) }
		f.Heard(8)
		tooSoon := func() bool {
			now, view := time.Now(), f.View()
			lacking, _ := view.Lacking(now)
			return view.Behind(now) && lacking < discovery.BehindGrace
		}
		Consistently(tooSoon).WithTimeout(1200 * time.Millisecond).Should(BeFalse())
		Eventually(func() bool { f.Heard(8); return behind() }).Should(BeTrue())
		By("serving on when nobody tells of the newer one any longer")
		Eventually(behind).Should(BeFalse())
		By("refusing again when it is told of it again, and serving by the newer one when it has come")
		Eventually(func() bool { f.Heard(8); return behind() }).Should(BeTrue())
		newer()
		Eventually(version).Should(Equal(uint64(7)))
		Expect(behind()).To(BeFalse())
	})

	It("gives a document to a few peers at a time, in pieces that make it whole", func() {
		begin()
		noise := make([]byte, 100<<10)
		_, err := rand.Read(noise)
		Expect(err).NotTo(HaveOccurred())
		large := discovery.Document{Revision: 8, Data: append([]byte(`{"Version":7,"Limits":{},"Noise":"`), []byte(hex.EncodeToString(noise)+`"}`)...)}
		store.set(func(s *source) { s.out, s.state = false, held{Revision: 9, Document: large} })
		Eventually(version).Should(Equal(uint64(7)))
		ask := func(asker, digest string, offset int) discovery.Piece {
			p, err := f.Piece(discovery.PieceSelect{Asker: asker, NewerThan: 4, Digest: digest, Offset: offset})
			Expect(err).NotTo(HaveOccurred())
			return p
		}
		first := ask("a", "", 0)
		Expect(len(first.Data)).To(BeNumerically("<", first.Size))
		ask("b", "", 0)
		ask("c", "", 0)
		Expect(ask("d", "", 0).Busy).To(BeTrue())
		data := first.Data
		for len(data) < first.Size {
			p := ask("a", first.Digest, len(data))
			Expect(p.Offset).To(Equal(len(data)))
			data = append(data, p.Data...)
		}
		digest, packed := discovery.Pack(large)
		Expect(first.Digest).To(Equal(digest))
		Expect(data).To(Equal(packed))
		By("serving the next one when one is done, and beginning anew for one that had begun with another document")
		Expect(ask("d", "of another", 64).Offset).To(BeZero())
		Expect(f.Piece(discovery.PieceSelect{Asker: "e", NewerThan: 8})).To(HaveField("Size", 0))
	})
})

// narrowSource gives documents over a narrow link: an answer with one takes a while, in which
// bytes come all the time.
type narrowSource struct {
	*source
	takes time.Duration
}

// narrowPause is the time between two lots of bytes.
const narrowPause = 50 * time.Millisecond

func (s narrowSource) WatchDocument(ctx context.Context, since uint64, wait time.Duration, progress discovery.Progress) (discovery.Newest, error) {
	newest, err := s.source.WatchDocument(ctx, since, wait, progress)
	if err != nil || newest.Document.Revision == 0 {
		return newest, err
	}
	for begin := time.Now(); time.Since(begin) < s.takes; time.Sleep(narrowPause) {
		if ctx.Err() != nil {
			return discovery.Newest{}, ctx.Err()
		}
		progress(1)
	}
	return newest, nil
}

var _ = Describe("a relay behind a narrow link", func() {
	// A document of 1 MB is 1.4 MB on the wire, 1.1 s at 10 Mbit/s; this one is larger.
	const transfer = 2500 * time.Millisecond

	It("gets a large document, and tells of endpoints meanwhile", func() {
		store := &source{state: state(5, 4, 3, "a")}
		f := discovery.New(narrowSource{store, transfer}, peersOf{&source{out: true}}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		relay := func(since uint64) discovery.Relayed {
			return f.Relay(discovery.RelaySelect{Since: since, Document: 4, Wait: 10 * time.Millisecond})
		}
		document := func() uint64 { return relay(5).Mark.Revision }
		Eventually(document).Should(Equal(uint64(4)))
		store.set(func(s *source) { s.state = state(9, 8, 7, "a", "b") })
		Eventually(func() uint64 { return relay(5).Changes.Revision }).Should(Equal(uint64(9)))
		Expect(document()).To(Equal(uint64(4)))
		Eventually(document).Should(Equal(uint64(8)))
	})
})
