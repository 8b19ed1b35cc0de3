package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// passing says why a worker gets no call in a round though it could take one.
type passing int

const (
	// notPassed: it got one, or was not looked at.
	notPassed passing = iota
	// waitsForRoom: there is little room yet for what it would take.
	waitsForRoom
	// notWanted: what waits is better made elsewhere.
	notWanted
)

// fill sends a call to a worker, or says why it is passed over.
func (b *Batcher) fill(s *service, w *worker, workers []*worker, batching *route.Batching, now time.Time) passing {
	all := s.queue.items
	room := w.room(now, batching)
	items := s.queue.take(batching.Size, room, s.wanted(now, w, workers, batching))
	if len(items) == 0 {
		return notWanted
	}
	few := float64(len(items)) < smallCall*float64(min(len(all), batching.Size))
	short := room < batching.RoomBytes/2
	if few && short && now.Sub(w.idleSince) < roomWait {
		s.queue.items = all
		return waitsForRoom
	}
	b.send(s, w, items, batching)
	return notPassed
}

// wanted tells which pieces a worker takes: not those whose inputs, or else whose result,
// are so large that they are better made in the failure domain where the inputs are, or
// where the result will be read, though they are made later there.
func (s *service) wanted(now time.Time, w *worker, workers []*worker, batching *route.Batching) func(*item) bool {
	call := batching.CallTime(batching.Size)
	own := now.Add(w.expected(now, call))
	local := map[string]time.Time{}
	for _, other := range workers {
		finish := other.finish(now, call)
		if best, ok := local[other.endpoint.FailureDomain]; !ok || finish.Before(best) {
			local[other.endpoint.FailureDomain] = finish
		}
	}
	ahead := map[string]int{}
	return func(i *item) bool {
		if !i.piece.mayBeMadeIn(w.endpoint.FailureDomain) {
			return false
		}
		domain := i.domain()
		if domain == "" || domain == w.endpoint.FailureDomain {
			return true
		}
		there, ok := local[domain]
		if !ok {
			return true
		}
		there = there.Add(time.Duration(ahead[domain]/batching.Size) * call)
		ahead[domain]++
		saved := time.Duration(i.piece.movedBytes()) * byteCost
		return there.After(own.Add(saved)) || there.After(i.piece.Due) && !own.After(i.piece.Due)
	}
}

// choose returns the worker that the next call goes to, or nil if it should wait. A
// worker that would end the call later than others could is left out while those others
// can take all that waits, and so is one that was passed over already. Of the rest, one in the
// failure domain of the first piece is preferred.
func (s *service) choose(now time.Time, workers []*worker, passed map[*worker]passing, batching *route.Batching) *worker {
	waiting := len(s.queue.items)
	size := min(waiting, batching.Size)
	call := batching.CallTime(size)
	calls := (waiting + batching.Size - 1) / batching.Size
	domain := s.queue.items[0].domain()
	need := s.queue.items[0].piece.Bytes
	var best *worker
	var bestLocal bool
	for _, w := range workers {
		if passed[w] != notPassed || !w.usable(now, batching) || w.room(now, batching) < need {
			continue
		}
		if fasterThan(now, w, workers, passed, call) >= calls {
			continue
		}
		local := domain != "" && w.endpoint.FailureDomain == domain
		if best == nil || local && !bestLocal || local == bestLocal && w.slow(now) < best.slow(now) {
			best, bestLocal = w, local
		}
	}
	return best
}

// fasterThan counts the workers that would end a call before w, though they may be busy. One that
// the pieces are not for does not count: pieces would wait for it, and not be made, while the
// endpoint that they are for is idle (2,200 ms and more on a deployment without other work).
func fasterThan(now time.Time, w *worker, workers []*worker, passed map[*worker]passing, call time.Duration) int {
	own := w.finish(now, call)
	n := 0
	for _, other := range workers {
		if other != w && passed[other] != notWanted && other.finish(now, call).Before(own) {
			n++
		}
	}
	return n
}
