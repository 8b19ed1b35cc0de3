package batch

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Free gives results up at their makers, those of some time together.
func (b *Batcher) Free(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			b.freeing[r.Endpoint] = append(b.freeing[r.Endpoint], r)
		}
	}
}

// flush sends the results that are to be freed to their makers. Those of a maker that wants rest wait.
func (b *Batcher) flush() {
	b.mu.Lock()
	freeing := b.freeing
	b.freeing = map[string][]Result{}
	for id, results := range freeing {
		if b.known.Rest(id) > 0 {
			b.freeing[id] = results
			delete(freeing, id)
		}
	}
	b.mu.Unlock()
	for id, results := range freeing {
		if e, ok := b.known.Endpoint(id); ok {
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
