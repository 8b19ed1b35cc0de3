package scheduling

import "slices"

// backlog counts the admitted requests that have not finished a pool's stage yet, including those
// still in an earlier stage.
type backlog struct {
	classes []*backlogClass // highest rank first
}

type backlogClass struct {
	rank   uint32
	total  int
	weight float64 // sum over the organisations in counts
	counts map[string]*backlogCount
}

type backlogCount struct {
	n      int
	weight float64
}

func (b *backlog) class(rank uint32) *backlogClass {
	i, found := slices.BinarySearchFunc(b.classes, rank, func(c *backlogClass, rank uint32) int {
		return int(int64(rank) - int64(c.rank))
	})
	if found {
		return b.classes[i]
	}
	c := &backlogClass{rank: rank, counts: map[string]*backlogCount{}}
	b.classes = slices.Insert(b.classes, i, c)
	return c
}

func (b *backlog) add(w *Work) {
	c := b.class(w.Rank)
	count := c.counts[w.Organisation]
	if count == nil {
		count = &backlogCount{weight: max(w.Weight, 1)}
		c.counts[w.Organisation] = count
		c.weight += count.weight
	}
	count.n++
	c.total++
}

func (b *backlog) remove(w *Work) {
	c := b.class(w.Rank)
	count := c.counts[w.Organisation]
	if count == nil {
		return
	}
	count.n--
	c.total--
	if count.n > 0 {
		return
	}
	delete(c.counts, w.Organisation)
	c.weight -= count.weight
}

// ahead estimates how many requests are served before new work w: all requests of higher classes
// and, within its own class, the share that fair queueing serves first, at most the whole class.
func (b *backlog) ahead(w *Work) float64 {
	sum := 0.0
	for _, c := range b.classes {
		if c.rank > w.Rank {
			sum += float64(c.total)
		}
		if c.rank == w.Rank {
			sum += min(float64(c.total), c.fairShareAhead(w))
		}
	}
	return sum
}

func (c *backlogClass) fairShareAhead(w *Work) float64 {
	weight := max(w.Weight, 1)
	own, others := 0, c.weight
	if count := c.counts[w.Organisation]; count != nil {
		own = count.n
		others -= count.weight
	}
	return float64(own) * (others + weight) / weight
}
