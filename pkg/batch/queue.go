package batch

import (
	"cmp"
	"slices"
	"time"
)

// item is a piece that waits, or that is in a call.
type item struct {
	piece Piece
	// tries is how many calls it was in.
	tries int
	group *group
	// slot is the index of the result in the group.
	slot int
	// fetched says that its endpoint has fetched its inputs.
	fetched bool
}

// group is what was submitted together: the pieces of one stage of one request.
type group struct {
	results []Result
	left    int
	done    chan struct{}
	// abandoned says that nobody waits for the results any more.
	abandoned bool
	// unread counts the pieces whose inputs their endpoints have not fetched yet. When
	// none is left, read is called, and none of the pieces can be made again.
	unread int
	read   func()
	// domain is the failure domain that its first piece was sent to: the others are best
	// made there too.
	domain string
}

func newGroup(n int, read func()) *group {
	return &group{results: make([]Result, n), left: n, done: make(chan struct{}), unread: n, read: read}
}

// inputsGone tells whether the inputs have been given up.
func (g *group) inputsGone() bool { return g.read != nil && g.unread == 0 }

// settle sets the result of one piece.
func (g *group) settle(slot int, r Result) {
	g.results[slot] = r
	g.left--
	if g.left == 0 {
		close(g.done)
	}
}

// queue holds the pieces that wait for a service.
type queue struct{ items []*item }

func (q *queue) add(items ...*item) { q.items = append(q.items, items...) }

// sort puts first what can still be in time, by the end of its objective; requests stay
// together.
func (q *queue) sort(now time.Time, call time.Duration) {
	soonest := now.Add(call)
	slices.SortStableFunc(q.items, func(a, b *item) int {
		return cmp.Or(
			compareBool(a.late(soonest), b.late(soonest)),
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

// late tells whether a piece can't be made before its request's objective ends.
func (i *item) late(soonest time.Time) bool { return soonest.After(i.piece.Due) }

// inputsExpired tells whether a piece's inputs have gone by themselves.
func (i *item) inputsExpired(now time.Time) bool {
	return !i.piece.InputsUntil.IsZero() && now.After(i.piece.InputsUntil)
}

// domain is the failure domain where a piece is best made; empty: any.
func (i *item) domain() string {
	if i.group.domain != "" {
		return i.group.domain
	}
	return i.piece.Domain
}

// drop removes pieces that nobody waits for, and settles those whose deadline has passed
// or whose inputs have gone.
func (q *queue) drop(now time.Time) {
	q.items = slices.DeleteFunc(q.items, func(i *item) bool {
		if i.group.abandoned {
			return true
		}
		if now.After(i.piece.Deadline) {
			i.group.settle(i.slot, Result{Reason: Late})
			return true
		}
		if i.inputsExpired(now) {
			i.group.settle(i.slot, Result{Reason: Gone})
			return true
		}
		return false
	})
}

// settleAll settles all that waits with a reason.
func (q *queue) settleAll(reason Reason) {
	for _, i := range q.items {
		if !i.group.abandoned {
			i.group.settle(i.slot, Result{Reason: reason})
		}
	}
	q.items = nil
}

// take removes the first pieces that fit: at most size of them, of at most room bytes, of
// those that wanted holds for. Pieces of a request go together where they can, so that no
// result waits for others that are made in a later call; parts of requests are taken only
// first, and to fill a call that would be far from full.
func (q *queue) take(size int, room int64, wanted func(*item) bool) []*item {
	filling := &filling{size: size, room: room, taken: make(map[*item]bool, size)}
	runs := q.runs(wanted)
	for n, run := range runs {
		if n == 0 || filling.fits(run) {
			filling.add(run)
		}
	}
	if float64(len(filling.taken)) < wellFilled*float64(min(size, len(q.items))) {
		for _, run := range runs {
			filling.add(run)
		}
	}
	return q.remove(filling.taken)
}

// wellFilled is the part of a full call, or of what waits, from which a call is not filled
// with parts of requests.
const wellFilled = 0.8

// runs returns the wanted pieces, those of one group that wait next to each other together.
func (q *queue) runs(wanted func(*item) bool) [][]*item {
	var runs [][]*item
	var last *group
	for _, i := range q.items {
		if !wanted(i) {
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

// remove takes pieces out and returns them in order.
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

// filling is a call that is being filled.
type filling struct {
	size  int
	room  int64
	taken map[*item]bool
}

// fits tells whether all pieces of a run fit.
func (f *filling) fits(run []*item) bool {
	bytes := int64(0)
	for _, i := range run {
		bytes += i.piece.Bytes
	}
	return len(run) <= f.size-len(f.taken) && bytes <= f.room
}

// add takes those of a run that fit.
func (f *filling) add(run []*item) {
	for _, i := range run {
		if f.taken[i] || len(f.taken) >= f.size || i.piece.Bytes > f.room {
			continue
		}
		f.taken[i] = true
		f.room -= i.piece.Bytes
	}
}
