package batch

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Free queues results to be freed at their endpoints on the next Tick.
func (b *Batcher) Free(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			b.pendingFrees[r.Endpoint] = append(b.pendingFrees[r.Endpoint], r)
		}
	}
}

// flushFrees sends pending frees, except to endpoints that requested a back-off.
func (b *Batcher) flushFrees() {
	b.mu.Lock()
	freeing := b.pendingFrees
	b.pendingFrees = map[string][]Result{}
	for id, results := range freeing {
		if b.registry.Backoff(id) > 0 {
			b.pendingFrees[id] = results
			delete(freeing, id)
		}
	}
	b.mu.Unlock()
	for id, results := range freeing {
		if e, ok := b.registry.Endpoint(id); ok {
			go b.free(e, results)
		}
	}
}

func (b *Batcher) free(e fleet.Endpoint, results []Result) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	if err := b.caller.Free(ctx, e, handles); err != nil {
		b.log.WithFields(logrus.Fields{"event": "results_not_freed", "endpoint": e.ID, "results": len(handles)}).Info(err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		s := b.services[r.Queue]
		if s == nil || s.workers[e.ID] == nil {
			continue
		}
		delete(s.workers[e.ID].held, r.Handle)
	}
}
