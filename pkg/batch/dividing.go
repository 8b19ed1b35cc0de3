package batch

import "github.com/cobaltcroft/cobaltcroft/pkg/fleet"

// Split returns what a ledger tells by the part that each endpoint falls to when they are cut
// into so many parts. Of an endpoint that gets no new work nothing is told.
func (b *Batcher) Split(ledger Ledger, parts int) map[int]Ledger {
	homes := b.homes(parts)
	split := map[int]Ledger{}
	for _, account := range ledger.Endpoints {
		queue, found := homes(account.Queue.Service, account.Endpoint)
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

// Rehome returns results with the queues that their makers fall to when the endpoints are cut
// into so many parts, so that the owner there hears that their room is free.
func (b *Batcher) Rehome(results []Result, parts int) []Result {
	homes := b.homes(parts)
	moved := make([]Result, len(results))
	for i, r := range results {
		moved[i] = r
		if queue, found := homes(r.Queue.Service, r.Endpoint); found {
			moved[i].Queue = queue
		}
	}
	return moved
}

// homes returns what finds the queue of an endpoint, where the endpoints are cut into so many
// parts. Each service is cut when it is first asked for.
func (b *Batcher) homes(parts int) func(service, endpoint string) (Queue, bool) {
	found := map[string]map[string]int{}
	return func(service, endpoint string) (Queue, bool) {
		if found[service] == nil {
			found[service] = map[string]int{}
			eachPart(b.known.Ready(service), parts, b.regions, func(e fleet.Endpoint, part int) { found[service][e.ID] = part })
		}
		part, ok := found[service][endpoint]
		return Queue{Service: service, Part: part, Parts: parts}, ok
	}
}
