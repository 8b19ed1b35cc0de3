package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// maxTries bounds the calls that one piece is in.
	maxTries = 4
	// overdueFactor and overdueSlack say when a call under way is given up: it has
	// taken overdueFactor times its expected time and overdueSlack more. At endpoints that
	// others call too it may have waited for theirs.
	overdueFactor       = 1.6
	overdueSlack        = 150 * time.Millisecond
	sharedOverdueFactor = 2
	sharedOverdueSlack  = 400 * time.Millisecond
	freeTimeout         = 500 * time.Millisecond
	// fetchTime is how long after a call was sent its endpoint has fetched the inputs,
	// if it had no other call.
	fetchTime = 80 * time.Millisecond
	// byteCost is the time that a byte is worth which is read in another failure domain
	// than the one where it was made.
	byteCost = 500 * time.Nanosecond
	// smallCall is the part of a full call, or of what waits, below which a call for
	// which there is too little room waits up to roomWait for more.
	smallCall = 0.5
	roomWait  = 150 * time.Millisecond
)

// Batcher makes the pieces of all services here. Safe for concurrent use.
type Batcher struct {
	caller Caller
	known  Known
	budget Budget
	clock  clockwork.Clock
	log    *logrus.Entry
	// regions has the region of each failure domain.
	regions ownership.Regions

	calls  *metrics.Counter
	pieces *metrics.Counter
	again  *metrics.Counter
	wasted *metrics.Counter

	mu       sync.Mutex
	services map[Queue]*service
	// freeing has the results to be freed, by maker.
	freeing map[string][]Result
}

// service is the state of one service's pieces.
type service struct {
	at      Queue
	regions ownership.Regions
	queue   queue
	workers map[string]*worker
	// current are the workers of the part's endpoints.
	current current
	// typical is the smoothed number of pieces in a call.
	typical float64
	// released says that another instance plans here now: no call begins.
	released bool
	// lookedAt is when something was last sent to or asked of the endpoints; inspection is
	// closed when those under way have been asked, nil if none is.
	lookedAt   time.Time
	inspection chan struct{}
}

// typicalWeight is the weight of a new call in the typical number of pieces.
const typicalWeight = 0.1

// New returns a batcher without work. Counters are made in set.
func New(caller Caller, known Known, budget Budget, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Batcher {
	return &Batcher{
		caller:   caller,
		known:    known,
		budget:   budget,
		clock:    clock,
		log:      log,
		calls:    set.NewCounter("cobaltcroft_stage_calls_total"),
		pieces:   set.NewCounter("cobaltcroft_stage_pieces_total"),
		again:    set.NewCounter("cobaltcroft_stage_pieces_again_total"),
		wasted:   set.NewCounter("cobaltcroft_stage_results_unused_total"),
		services: map[Queue]*service{},
		freeing:  map[string][]Result{},
	}
}

// ByRegion has parts cut by region where their number says so. It is called before any work comes.
func (b *Batcher) ByRegion(regions ownership.Regions) { b.regions = regions }

// Make has pieces of one service made, and returns their results in the same order
// when all are settled. If ctx ends before, pieces that wait are dropped, and results
// that come after are freed. If read is not nil, it is called, once at most, when the
// endpoints have fetched the inputs of all pieces; none is made again after that.
func (b *Batcher) Make(ctx context.Context, at Queue, pieces []Piece, read func()) []Result {
	g := newGroup(len(pieces), read)
	b.budget.AddRequests(at.Service, len(pieces))
	b.mu.Lock()
	s := b.service(at)
	for slot, piece := range pieces {
		s.queue.add(&item{piece: piece, group: g, slot: slot})
	}
	b.dispatch(s)
	b.mu.Unlock()
	select {
	case <-g.done:
		return g.results
	case <-ctx.Done():
		return b.abandon(g)
	}
}

// abandon gives a group up, frees its results and returns none.
func (b *Batcher) abandon(g *group) []Result {
	b.mu.Lock()
	g.abandoned = true
	made := g.results
	g.results = make([]Result, len(made))
	b.mu.Unlock()
	for i := range made {
		if made[i].Handle != "" {
			b.Free(made[i : i+1])
		}
	}
	none := make([]Result, len(made))
	for i := range none {
		none[i].Reason = Late
	}
	return none
}

func (b *Batcher) service(at Queue) *service {
	s := b.services[at]
	if s == nil {
		s = &service{at: at, regions: b.regions, workers: map[string]*worker{}}
		b.services[at] = s
	}
	return s
}

// Tick frees results, drops what is too late and sends what can be sent: endpoints come,
// go and end their rests.
func (b *Batcher) Tick() {
	b.flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, s := range b.services {
		b.prove(s, now)
		if len(s.queue.items) > 0 {
			b.dispatch(s)
		}
	}
}

// dispatch sends calls while there are pieces and usable workers.
func (b *Batcher) dispatch(s *service) {
	batching := b.known.Batching(s.at.Service)
	now := b.clock.Now()
	s.queue.drop(now)
	if s.released {
		s.queue.settleAll(Moved)
		return
	}
	if batching == nil {
		return
	}
	workers := s.update(b.known.Ready(s.at.Service))
	b.heed(workers, now)
	s.queue.sort(now, batching.CallTime(1))
	passed := map[*worker]passing{}
	for len(s.queue.items) > 0 {
		w := s.choose(now, workers, passed, batching)
		if w == nil {
			return
		}
		passed[w] = b.fill(s, w, workers, batching, now)
	}
}

// current are the workers that may get work, for as long as the service's endpoints stay the same.
// Every piece asks for them: at the owner of one of four parts of 42 endpoints, cutting them anew
// would make a forecast of a stage take 28 us and not 1 us, and a stage 31 us and not 4 us
// (BenchmarkCapacity, BenchmarkMake).
type current struct {
	of      []fleet.Endpoint
	workers []*worker
	// stale says that workers are still at work whose endpoints are not known any more.
	stale bool
}

// update returns the workers of the part's endpoints that may get work, of all that are ready, and
// forgets those of endpoints that are not known any more.
func (s *service) update(ready []fleet.Endpoint) []*worker {
	if !s.current.stale && sameSlice(ready, s.current.of) {
		return s.current.workers
	}
	s.current = current{of: ready, workers: s.workersOf(s.at.endpoints(ready, s.regions))}
	for id, w := range s.workers {
		if slices.Contains(s.current.workers, w) {
			continue
		}
		if w.running > 0 {
			s.current.stale = true
			continue
		}
		delete(s.workers, id)
	}
	return s.current.workers
}

// workersOf returns the workers of endpoints, new ones where there are none.
func (s *service) workersOf(endpoints []fleet.Endpoint) []*worker {
	workers := make([]*worker, 0, len(endpoints))
	for _, e := range endpoints {
		w := s.workers[e.ID]
		if w == nil {
			w = newWorker(e)
			s.workers[e.ID] = w
		}
		workers = append(workers, w)
	}
	return workers
}

func (b *Batcher) send(s *service, w *worker, items []*item, batching *route.Batching) {
	pieces := make([]Piece, len(items))
	deadline := items[0].piece.Deadline
	var bytes int64
	for i, it := range items {
		pieces[i] = it.piece
		if it.group.domain == "" {
			it.group.domain = w.endpoint.FailureDomain
		}
		bytes += it.piece.Bytes
		it.tries++
		if it.piece.Deadline.After(deadline) {
			deadline = it.piece.Deadline
		}
	}
	now := b.clock.Now()
	s.lookedAt = now
	call := batching.CallTime(len(items))
	expected := w.expected(now, call)
	w.running++
	w.busyUntil = now.Add(expected)
	w.reserved += bytes
	b.watchFetch(w, items)
	s.typical += typicalWeight * (float64(len(items)) - s.typical)
	b.calls.Inc()
	b.pieces.Add(len(items))
	limit := now.Add(w.patience(expected))
	if deadline.Before(limit) {
		limit = deadline
	}
	go b.run(s, w, items, pieces, bytes, batching, call, limit)
}

// watchFetch notes, some time after a call was sent, that the endpoint has fetched the
// inputs of its pieces. One that has answered no call yet may be at work for another planner, such as
// one that has died, and fetches when that is done: of 476 plans in the two seconds after all
// instances had lost power, 54 found their inputs gone so, and were made again.
func (b *Batcher) watchFetch(w *worker, items []*item) {
	if w.fresh || w.shared || w.running > 1 || items[0].group.read == nil {
		return
	}
	b.clock.AfterFunc(fetchTime, func() {
		var read []func()
		b.mu.Lock()
		for _, it := range items {
			g := it.group
			if it.fetched || g.read == nil || g.abandoned {
				continue
			}
			it.fetched = true
			if g.unread--; g.unread == 0 {
				read = append(read, g.read)
			}
		}
		b.mu.Unlock()
		for _, call := range read {
			call()
		}
	})
}

// run makes one call and deals with what comes of it.
func (b *Batcher) run(s *service, w *worker, items []*item, pieces []Piece, bytes int64, batching *route.Batching, call time.Duration, limit time.Time) {
	begin := b.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit.Sub(begin))
	results, outcome := b.caller.Run(ctx, w.endpoint, pieces)
	cancel()
	now := b.clock.Now()
	b.mu.Lock()
	w.running--
	w.idleSince = now
	room := w.room(now, batching)
	w.reserved -= bytes
	waiting := len(s.queue.items)
	unused := b.settle(s, w, items, results, outcome, batching, now)
	if outcome == Made {
		w.learn(now, now.Sub(begin), call)
	}
	if (outcome == NotSent || outcome == Lost) && now.Sub(begin) >= silentAfter {
		b.suspectDomain(w.endpoint.FailureDomain, now)
	}
	if outcome == Lost {
		w.slowness, w.learntAt = max(w.slow(now), float64(now.Sub(begin))/float64(call)), now
		w.shared = true
	}
	b.dispatch(s)
	b.mu.Unlock()
	b.log.WithFields(logrus.Fields{
		"event": "stage_call", "service": s.at.Service, "endpoint": w.endpoint.ID, "pieces": len(pieces),
		"ms": now.Sub(begin).Milliseconds(), "expected_ms": call.Milliseconds(), "outcome": int(outcome),
		"domain": w.endpoint.FailureDomain, "not_made": countFailed(results), "why_not": firstReason(results),
		"waiting": waiting, "room": room, "bytes": bytes,
	}).Info()
	if len(unused) > 0 {
		b.Free(unused)
	}
}
