package decision

import (
	"container/heap"
	"slices"
)

// queue orders waiting work: higher ranks first; within a rank by weighted fair
// shares of the organisations (start-time fair queueing, Goyal et al., 1996);
// within an organisation the earliest deadline first.
type queue struct {
	classes  []*class // highest rank first
	length   int
	sequence uint64
}

// class is the waiting work of one rank.
type class struct {
	rank    uint32
	flows   map[string]*flow
	active  flowHeap
	virtual float64
}

// flow is the waiting work of one organisation within a class.
type flow struct {
	organisation string
	weight       float64
	// start is the virtual time at which the next of the flow may start.
	start   float64
	waiters waiterHeap
	index   int
	class   *class
}

func (q *queue) class(rank uint32) *class {
	i, found := slices.BinarySearchFunc(q.classes, rank, func(c *class, rank uint32) int {
		return int(int64(rank) - int64(c.rank))
	})
	if found {
		return q.classes[i]
	}
	c := &class{rank: rank, flows: map[string]*flow{}}
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// push adds a waiter.
func (q *queue) push(w *Waiter) {
	c := q.class(w.work.Rank)
	f := c.flows[w.work.Organisation]
	if f == nil {
		f = &flow{organisation: w.work.Organisation, class: c}
		c.flows[w.work.Organisation] = f
	}
	f.weight = max(w.work.Weight, 1)
	if w.sequence == 0 {
		q.sequence++
		w.sequence = q.sequence
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	q.length++
	if len(f.waiters) == 1 {
		f.start = max(f.start, c.virtual)
		heap.Push(&c.active, f)
	}
}

// pop takes the next waiter out; nil if none waits.
func (q *queue) pop() *Waiter {
	for _, c := range q.classes {
		if len(c.active) == 0 {
			continue
		}
		f := c.active[0]
		w := f.waiters[0]
		c.virtual = f.start
		f.start += 1 / f.weight
		q.remove(w)
		return w
	}
	return nil
}

// unpop puts back a waiter that pop gave, as if it had not been popped.
func (q *queue) unpop(w *Waiter) {
	c := q.class(w.work.Rank)
	if f := c.flows[w.work.Organisation]; f != nil {
		f.start -= 1 / f.weight
	}
	q.push(w)
}

// remove takes a waiter out of the queue; it does nothing if it is out already.
func (q *queue) remove(w *Waiter) bool {
	f := w.flow
	if f == nil || w.index < 0 {
		return false
	}
	heap.Remove(&f.waiters, w.index)
	w.flow = nil
	q.length--
	if len(f.waiters) > 0 {
		heap.Fix(&f.class.active, f.index)
		return true
	}
	heap.Remove(&f.class.active, f.index)
	q.forget(f)
	return true
}

// forget drops an empty flow that is not ahead of its class, which starts anew at
// the same place when it comes back. The others stay until the class is idle.
func (q *queue) forget(f *flow) {
	c := f.class
	if f.start <= c.virtual {
		delete(c.flows, f.organisation)
	}
	if len(c.active) == 0 {
		clear(c.flows)
		c.virtual = 0
	}
}

// victim returns the waiter to shed so that one of the given work can wait: of the
// lowest class that has any, up to the work's own rank, the organisation with the
// most waiting for its weight, its latest deadline. Nil: the work itself is.
func (q *queue) victim(work *Work) *Waiter {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.rank > work.Rank {
			return nil
		}
		if len(c.active) == 0 {
			continue
		}
		return c.victim(work)
	}
	return nil
}

func (c *class) victim(work *Work) *Waiter {
	var worst *flow
	for _, f := range c.active {
		if worst == nil || f.pressure() > worst.pressure() {
			worst = f
		}
	}
	own := 1 / max(work.Weight, 1)
	if f := c.flows[work.Organisation]; f != nil {
		own = float64(len(f.waiters)+1) / max(work.Weight, 1)
	}
	if c.rank == work.Rank && (worst.organisation == work.Organisation || own >= worst.pressure()) {
		return nil
	}
	return worst.latest()
}

// pressure is how much of the flow waits for its weight.
func (f *flow) pressure() float64 { return float64(len(f.waiters)) / f.weight }

func (f *flow) latest() *Waiter {
	latest := f.waiters[0]
	for _, w := range f.waiters {
		if w.work.Deadline.After(latest.work.Deadline) {
			latest = w
		}
	}
	return latest
}

// waiterHeap has the earliest deadline on top, then the first come.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if !h[i].work.Deadline.Equal(h[j].work.Deadline) {
		return h[i].work.Deadline.Before(h[j].work.Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

// flowHeap has the flow whose next may start first on top.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].waiters[0].work.Deadline.Before(h[j].waiters[0].work.Deadline)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
