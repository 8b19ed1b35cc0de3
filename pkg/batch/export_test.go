package batch

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// PartIDs returns the IDs of the endpoints in a queue's partition.
func PartIDs(q Queue, ready []fleet.Endpoint) []string {
	return PartIDsIn(q, ready, ownership.Regions{})
}

// PartIDsIn is like PartIDs with failure domains assigned to regions.
func PartIDsIn(q Queue, ready []fleet.Endpoint, regions ownership.Regions) []string {
	var ids []string
	for _, e := range q.partEndpoints(ready, regions) {
		ids = append(ids, e.ID)
	}
	return ids
}

// Probing reports whether the outcome of a probe is still to be recorded.
func (b *Batcher) Probing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for _, w := range s.workers {
			if w.probing {
				return true
			}
		}
	}
	return false
}
