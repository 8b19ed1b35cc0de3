package scheduling

import (
	"container/heap"
	"slices"
)

// queue orders waiting work by rank, within a rank by weighted start-time fair queueing across
// organisations (Goyal et al., 1996), and within an organisation by deadline.
type queue struct {
	classes  []*class // highest rank first
	length   int
	sequence uint64
}

// class holds the waiting work of one rank.
type class struct {
	rank        uint32
	flows       map[string]*flow
	active      flowHeap
	virtualTime float64
}

// flow holds the waiting work of one organisation within a class.
type flow struct {
	organisation string
	weight       float64
	// startTag is the virtual start time of the flow's next item.
	startTag float64
	waiters  waiterHeap
	index    int
	class    *class
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
		f.startTag = max(f.startTag, c.virtualTime)
		heap.Push(&c.active, f)
	}
}

// pop removes and returns the next waiter, or nil if the queue is empty.
func (q *queue) pop() *Waiter {
	for _, c := range q.classes {
		if len(c.active) == 0 {
			continue
		}
		f := c.active[0]
		w := f.waiters[0]
		c.virtualTime = f.startTag
		f.startTag += 1 / f.weight
		q.remove(w)
		return w
	}
	return nil
}

// unpop reverts a pop of w, including its effect on the start tag.
func (q *queue) unpop(w *Waiter) {
	c := q.class(w.work.Rank)
	if f := c.flows[w.work.Organisation]; f != nil {
		f.startTag -= 1 / f.weight
	}
	q.push(w)
}

// remove removes a waiter and reports whether it was queued.
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
	q.dropIdle(f)
	return true
}

// dropIdle deletes an empty flow whose start tag is not ahead of the virtual time, since it would
// restart at the same tag. Other empty flows are kept until the class is empty.
func (q *queue) dropIdle(f *flow) {
	c := f.class
	if f.startTag <= c.virtualTime {
		delete(c.flows, f.organisation)
	}
	if len(c.active) == 0 {
		clear(c.flows)
		c.virtualTime = 0
	}
}

// victim returns the waiter to evict in favour of new work, or nil if the new work is to be
// refused. It takes the lowest non-empty class up to the work's rank, the organisation with the
// longest queue relative to its weight, and there the latest deadline.
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
		if worst == nil || f.relativeLength() > worst.relativeLength() {
			worst = f
		}
	}
	own := 1 / max(work.Weight, 1)
	if f := c.flows[work.Organisation]; f != nil {
		own = float64(len(f.waiters)+1) / max(work.Weight, 1)
	}
	if c.rank == work.Rank && (worst.organisation == work.Organisation || own >= worst.relativeLength()) {
		return nil
	}
	return worst.latest()
}

// relativeLength is the queue length divided by the weight.
func (f *flow) relativeLength() float64 { return float64(len(f.waiters)) / f.weight }

func (f *flow) latest() *Waiter {
	latest := f.waiters[0]
	for _, w := range f.waiters {
		if w.work.Deadline.After(latest.work.Deadline) {
			latest = w
		}
	}
	return latest
}

// waiterHeap is a min-heap by deadline, then by arrival.
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

// flowHeap is a min-heap by start tag, then by the earliest deadline.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
