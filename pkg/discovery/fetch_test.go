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
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// pieceHolders are peers that serve a document in small pieces, each with its own fault.
type pieceHolders struct {
	fakePeers
	mu sync.Mutex
	// names contains the peers in the order in which they are tried.
	names []string
	// failFrom contains the offset from which a peer fails, corrupt the peers that return wrong
	// bytes, and busy the peers that are busy.
	failFrom map[string]int
	corrupt  map[string]bool
	busy     map[string]bool
	// served contains the offsets that each peer served, and asked the number of requests to it.
	served map[string][]int
	asked  map[string]int
}

const smallPiece = 16

func newHolders(s *fakeSource, names ...string) *pieceHolders {
	return &pieceHolders{
		fakePeers: fakePeers{s}, names: names, failFrom: map[string]int{}, corrupt: map[string]bool{}, busy: map[string]bool{},
		served: map[string][]int{}, asked: map[string]int{},
	}
}

func (h *pieceHolders) Holders(wanted func(discovery.DocumentID) bool) []string {
	if h.fakePeers.Holders(wanted) == nil {
		return nil
	}
	return h.names
}

func (h *pieceHolders) Piece(ctx context.Context, peer string, selection discovery.PieceRequest) (discovery.Piece, error) {
	whole, err := h.fakePeers.Piece(ctx, peer, selection)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[peer]++
	if err != nil || whole.Size == 0 {
		return whole, err
	}
	if h.busy[peer] {
		return discovery.Piece{Status: whole.Status, Busy: true}, nil
	}
	piece := whole
	if selection.Digest == whole.Digest && selection.Offset < whole.Size {
		piece.Offset = selection.Offset
	}
	if limit, breaks := h.failFrom[peer]; breaks && piece.Offset >= limit {
		return discovery.Piece{}, errUnavailable
	}
	piece.Data = append([]byte(nil), whole.Data[piece.Offset:min(whole.Size, piece.Offset+smallPiece)]...)
	if h.corrupt[peer] {
		piece.Data[0]++
	}
	h.served[peer] = append(h.served[peer], piece.Offset)
	return piece, nil
}

func (h *pieceHolders) servedOffsets(peer string) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]int(nil), h.served[peer]...)
}

var _ = Describe("fetching a document from peers", func() {
	var (
		store, others *fakeSource
		peers         *pieceHolders
		f             *discovery.Follower
	)
	version := func() uint64 {
		if f.View().Table == nil {
			return 0
		}
		return f.View().Table.Version
	}
	// begin starts a follower with version 3 and then makes its source unavailable.
	begin := func(names ...string) {
		store, others = &fakeSource{}, &fakeSource{unavailable: true}
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
		store.set(func(s *fakeSource) { s.unavailable = true })
	}
	newer := func() { others.set(func(s *fakeSource) { s.unavailable, s.state = false, state(9, 8, 7) }) }

	It("continues at another peer where one failed", func() {
		begin("first", "second")
		peers.failFrom["first"] = 2 * smallPiece
		newer()
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.servedOffsets("first")).To(Equal([]int{0, smallPiece}))
		Expect(peers.servedOffsets("second")[0]).To(Equal(2 * smallPiece))
	})

	It("tries another peer while one is busy", func() {
		begin("first", "second")
		peers.busy["first"] = true
		newer()
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.servedOffsets("first")).To(BeEmpty())
	})

	It("rejects a document whose bytes do not match its digest", func() {
		begin("first", "second")
		peers.corrupt["first"] = true
		newer()
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		Eventually(version).Should(Equal(uint64(7)))
		Expect(peers.servedOffsets("second")[0]).To(BeZero())
	})

	It("reads the source when no peer provides a document that is known to exist", func() {
		begin("first")
		peers.busy["first"] = true
		newer()
		others.set(func(s *fakeSource) { s.relays = []string{"first"} })
		store.set(func(s *fakeSource) { s.unavailable, s.state = false, state(9, 8, 7) })
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		Eventually(version).Should(Equal(uint64(7)))
	})

	It("is behind once the grace period for a newer document has passed, until its holders are silent", func() {
		begin("first")
		behind := func() bool { return f.View().Behind(time.Now()) }
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		tooSoon := func() bool {
			now, view := time.Now(), f.View()
			lacking, _ := view.Lacking(now)
			return view.Behind(now) && lacking < discovery.BehindGrace
		}
		Consistently(tooSoon).WithTimeout(1200 * time.Millisecond).Should(BeFalse())
		Eventually(func() bool { f.ObserveDocument(discovery.DocumentID{Revision: 8}); return behind() }).Should(BeTrue())
		By("serving again when nobody announces the newer one")
		Eventually(behind).Should(BeFalse())
		By("refusing when it is announced again, and serving once it has arrived")
		Eventually(func() bool { f.ObserveDocument(discovery.DocumentID{Revision: 8}); return behind() }).Should(BeTrue())
		newer()
		Eventually(version).Should(Equal(uint64(7)))
		Expect(behind()).To(BeFalse())
	})

	It("serves a document in pieces to a few peers at a time", func() {
		begin()
		noise := make([]byte, 100<<10)
		_, err := rand.Read(noise)
		Expect(err).NotTo(HaveOccurred())
		large := discovery.Document{Revision: 8, Data: append([]byte(`{"Version":7,"Limits":{},"Noise":"`), []byte(hex.EncodeToString(noise)+`"}`)...)}
		store.set(func(s *fakeSource) { s.unavailable, s.state = false, sourceState{Revision: 9, Document: large} })
		Eventually(version).Should(Equal(uint64(7)))
		ask := func(asker, digest string, offset int) discovery.Piece {
			p, err := f.Piece(discovery.PieceRequest{Asker: asker, NewerThan: 4, Digest: digest, Offset: offset})
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
		By("serving the next peer when one has finished, and starting from the beginning for one with a part of another document")
		Expect(ask("d", "of another", 64).Offset).To(BeZero())
		Expect(f.Piece(discovery.PieceRequest{Asker: "e", NewerThan: 8})).To(HaveField("Size", 0))
	})
})

// slowLinkSource delays document responses and reports progress meanwhile, as over a slow link.
type slowLinkSource struct {
	*fakeSource
	duration time.Duration
}

// progressInterval is the interval between two progress reports.
const progressInterval = 50 * time.Millisecond

func (s slowLinkSource) WatchDocument(ctx context.Context, since revision.Revision, wait time.Duration, progress discovery.Progress) (discovery.LatestDocument, error) {
	newest, err := s.fakeSource.WatchDocument(ctx, since, wait, progress)
	if err != nil || newest.Document.Revision == 0 {
		return newest, err
	}
	for begin := time.Now(); time.Since(begin) < s.duration; time.Sleep(progressInterval) {
		if ctx.Err() != nil {
			return discovery.LatestDocument{}, ctx.Err()
		}
		progress(1)
	}
	return newest, nil
}

var _ = Describe("a relay behind a slow link", func() {
	// Longer than a document of 1 MB takes at 10 Mbit/s.
	const transfer = 2500 * time.Millisecond

	It("receives a large document and relays endpoint changes meanwhile", func() {
		store := &fakeSource{state: state(5, 4, 3, "a")}
		f := discovery.New(slowLinkSource{store, transfer}, fakePeers{&fakeSource{unavailable: true}}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		relay := func(since revision.Revision) discovery.RelayResponse {
			return f.Relay(discovery.RelayRequest{Since: since, Document: discovery.DocumentID{Revision: 4}, Wait: 10 * time.Millisecond})
		}
		document := func() revision.Revision { return relay(5).Status.Revision }
		Eventually(document).Should(Equal(revision.Revision(4)))
		store.set(func(s *fakeSource) { s.state = state(9, 8, 7, "a", "b") })
		Eventually(func() revision.Revision { return relay(5).Changes.Revision }).Should(Equal(revision.Revision(9)))
		Expect(document()).To(Equal(revision.Revision(4)))
		Eventually(document).Should(Equal(revision.Revision(8)))
	})
})
