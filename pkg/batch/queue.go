package batch

import (
	"cmp"
	"slices"
	"time"
)

// item is a piece that is queued or part of a call.
type item struct {
	piece Piece
	// attempts is the number of calls that included the piece.
	attempts int
	group    *group
	// index is the index of the result in the group.
	index int
	// fetched is set when the endpoint has fetched the inputs.
	fetched bool
}

// group is the pieces of one stage of one request, which are submitted together.
type group struct {
	results []Result
	pending int
	done    chan struct{}
	// abandoned is set when the caller no longer waits for the results.
	abandoned bool
	// unread counts the pieces whose inputs have not been fetched. When it reaches zero, onRead is
	// called and no piece is retried.
	unread int
	onRead func()
	// domain is the failure domain of the first call, preferred for the remaining pieces.
	domain string
}

func newGroup(n int, onRead func()) *group {
	return &group{results: make([]Result, n), pending: n, done: make(chan struct{}), unread: n, onRead: onRead}
}

// inputsReleased reports whether the inputs have been freed.
func (g *group) inputsReleased() bool { return g.onRead != nil && g.unread == 0 }

func (g *group) settle(index int, r Result) {
	g.results[index] = r
	g.pending--
	if g.pending == 0 {
		close(g.done)
	}
}

// queue holds the pieces that wait for an endpoint of a service.
type queue struct{ items []*item }

func (q *queue) add(items ...*item) { q.items = append(q.items, items...) }

// sort orders the pieces by due time and request, with those that can no longer meet their due time
// last.
func (q *queue) sort(now time.Time, call time.Duration) {
	earliest := now.Add(call)
	slices.SortStableFunc(q.items, func(a, b *item) int {
		return cmp.Or(
			compareBool(a.missesDue(earliest), b.missesDue(earliest)),
			a.piece.Due.Compare(b.piece.Due),
			cmp.Compare(a.piece.Request, b.piece.Request),
		)
	})
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// missesDue reports whether a piece can't complete by its due time.
func (i *item) missesDue(earliest time.Time) bool { return earliest.After(i.piece.Due) }

// inputsExpired reports whether an input of the piece has expired.
func (i *item) inputsExpired(now time.Time) bool {
	return !i.piece.InputsUntil.IsZero() && now.After(i.piece.InputsUntil)
}

// domain returns the preferred failure domain of the piece; empty means any.
func (i *item) domain() string {
	if i.group.domain != "" {
		return i.group.domain
	}
	return i.piece.Domain
}

// dropExpired removes abandoned pieces and settles those whose deadline has passed or whose inputs
// have expired.
func (q *queue) dropExpired(now time.Time) {
	q.items = slices.DeleteFunc(q.items, func(i *item) bool {
		if i.group.abandoned {
			return true
		}
		if now.After(i.piece.Deadline) {
			i.group.settle(i.index, Result{Reason: Late})
			return true
		}
		if i.inputsExpired(now) {
			i.group.settle(i.index, Result{Reason: Gone})
			return true
		}
		return false
	})
}

// settleAll settles all queued pieces with a reason.
func (q *queue) settleAll(reason Reason) {
	for _, i := range q.items {
		if !i.group.abandoned {
			i.group.settle(i.index, Result{Reason: reason})
		}
	}
	q.items = nil
}

// take removes a batch of eligible pieces, at most size of them and within freeBytes. It keeps the
// pieces of a request in one call where possible, so that no result waits for a later call. It
// splits requests other than the first only if the batch would otherwise be too small.
func (q *queue) take(size int, freeBytes int64, eligible func(*item) bool) []*item {
	b := &batchBuilder{size: size, freeBytes: freeBytes, taken: make(map[*item]bool, size)}
	runs := q.groupRuns(eligible)
	for n, run := range runs {
		if n == 0 || b.fits(run) {
			b.add(run)
		}
	}
	if float64(len(b.taken)) < wellFilledRatio*float64(min(size, len(q.items))) {
		for _, run := range runs {
			b.add(run)
		}
	}
	return q.remove(b.taken)
}

// wellFilledRatio is the fraction of a full batch, or of the queue, from which requests are not
// split to fill the batch.
const wellFilledRatio = 0.8

// groupRuns returns the eligible pieces, with adjacent pieces of a group combined.
func (q *queue) groupRuns(eligible func(*item) bool) [][]*item {
	var runs [][]*item
	var last *group
	for _, i := range q.items {
		if !eligible(i) {
			continue
		}
		if i.group != last {
			runs = append(runs, nil)
			last = i.group
		}
		runs[len(runs)-1] = append(runs[len(runs)-1], i)
	}
	return runs
}

// remove removes pieces from the queue and returns them in order.
func (q *queue) remove(taken map[*item]bool) []*item {
	removed := make([]*item, 0, len(taken))
	rest := make([]*item, 0, len(q.items)-len(taken))
	for _, i := range q.items {
		if taken[i] {
			removed = append(removed, i)
			continue
		}
		rest = append(rest, i)
	}
	q.items = rest
	return removed
}

// batchBuilder collects the pieces of a call.
type batchBuilder struct {
	size      int
	freeBytes int64
	taken     map[*item]bool
}

// fits reports whether all pieces of a run fit.
func (b *batchBuilder) fits(run []*item) bool {
	bytes := int64(0)
	for _, i := range run {
		bytes += i.piece.Bytes
	}
	return len(run) <= b.size-len(b.taken) && bytes <= b.freeBytes
}

// add adds the pieces of a run that fit.
func (b *batchBuilder) add(run []*item) {
	for _, i := range run {
		if b.taken[i] || len(b.taken) >= b.size || i.piece.Bytes > b.freeBytes {
			continue
		}
		b.taken[i] = true
		b.freeBytes -= i.piece.Bytes
	}
}
