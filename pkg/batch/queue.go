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

// drop removes pieces that nobody waits for, and settles those whose deadline has passed.
func (q *queue) drop(now time.Time) {
	q.items = slices.DeleteFunc(q.items, func(i *item) bool {
		if i.group.abandoned {
			return true
		}
		if now.After(i.piece.Deadline) {
			i.group.settle(i.slot, Result{Reason: Late})
			return true
		}
		return false
	})
}

// take removes the first pieces that fit: at most size of them, of at most room bytes, of
// those that wanted holds for.
func (q *queue) take(size int, room int64, wanted func(*item) bool) []*item {
	var taken []*item
	rest := make([]*item, 0, len(q.items))
	for _, i := range q.items {
		if len(taken) < size && i.piece.Bytes <= room && wanted(i) {
			taken = append(taken, i)
			room -= i.piece.Bytes
			continue
		}
		rest = append(rest, i)
	}
	q.items = rest
	return taken
}
