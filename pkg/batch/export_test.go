package batch

import "github.com/cobaltcroft/cobaltcroft/pkg/fleet"

// PartIDs returns the IDs of the endpoints of a queue's part.
func PartIDs(q Queue, ready []fleet.Endpoint) []string {
	var ids []string
	for _, e := range q.endpoints(ready) {
		ids = append(ids, e.ID)
	}
	return ids
}
