package batch

import "github.com/cobaltcroft/cobaltcroft/pkg/fleet"

// Split divides a ledger by the partitions that its endpoints belong to when there are the given
// number of partitions. Endpoints that accept no new work are left out.
func (b *Batcher) Split(ledger Ledger, parts int) map[int]Ledger {
	queueOf := b.queueLookup(parts)
	split := map[int]Ledger{}
	for _, account := range ledger.Endpoints {
		queue, found := queueOf(account.Queue.Service, account.Endpoint)
		if !found {
			continue
		}
		account.Queue = queue
		share := split[queue.Part]
		share.Endpoints = append(share.Endpoints, account)
		split[queue.Part] = share
	}
	return split
}

// Repartition returns results with their queues changed to those of a new number of partitions, so that
// the new owners are notified when the results are freed.
func (b *Batcher) Repartition(results []Result, parts int) []Result {
	queueOf := b.queueLookup(parts)
	moved := make([]Result, len(results))
	for i, r := range results {
		moved[i] = r
		if queue, found := queueOf(r.Queue.Service, r.Endpoint); found {
			moved[i].Queue = queue
		}
	}
	return moved
}

// queueLookup returns a function that finds the queue of an endpoint for a number of partitions. It
// partitions each service on first use.
func (b *Batcher) queueLookup(parts int) func(service, endpoint string) (Queue, bool) {
	found := map[string]map[string]int{}
	return func(service, endpoint string) (Queue, bool) {
		if found[service] == nil {
			found[service] = map[string]int{}
			forEachPart(b.registry.Ready(service), parts, b.regions, func(e fleet.Endpoint, part int) { found[service][e.ID] = part })
		}
		part, ok := found[service][endpoint]
		return Queue{Service: service, Part: part, Parts: parts}, ok
	}
}
