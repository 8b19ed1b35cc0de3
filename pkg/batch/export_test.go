package batch

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// PartIDs returns the IDs of the endpoints of a queue's part.
func PartIDs(q Queue, ready []fleet.Endpoint) []string {
	return PartIDsIn(q, ready, ownership.Regions{})
}

// PartIDsIn returns the IDs of the endpoints of a queue's part, where failure domains stand in regions.
func PartIDsIn(q Queue, ready []fleet.Endpoint, regions ownership.Regions) []string {
	var ids []string
	for _, e := range q.endpoints(ready, regions) {
		ids = append(ids, e.ID)
	}
	return ids
}
