package throttle

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// requestTime is the expected duration of a permit request, and requestTimeout its timeout.
	requestTime    = 50 * time.Millisecond
	requestTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the next request after a refusal.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// requestsPerPermit bounds the number of instances that request permits per second, relative
	// to the limit. If more instances compete for an endpoint, a random subset sends requests.
	requestsPerPermit = 2
	// maxRequestSeconds bounds a single request, in seconds of the full limit.
	maxRequestSeconds = 0.25
)

// dropExpired removes expired permits.
func (e *endpoint) dropExpired(now time.Time) {
	e.permits = slices.DeleteFunc(e.permits, func(end time.Time) bool { return !now.Before(end) })
}

// requestSize is the number of permits to request: twice the last grant if it was used up, and
// otherwise the number that was used.
func (e *endpoint) requestSize(perSecond float64) int {
	size := e.used
	if e.used >= e.granted {
		size = 2 * e.granted
	}
	return max(1, min(size, maxRequest(perSecond)))
}

// request starts a permit request to the grantor unless this instance is not in the random subset
// that may send one.
func (l *Limiter) request(now time.Time, id string, e *endpoint, perSecond float64) {
	if l.random()*float64(len(l.candidates)) > requestsPerPermit*max(minPerSecond, perSecond) {
		e.nextRequest = now.Add(time.Second)
		return
	}
	e.requesting = true
	request := PermitRequest{EndpointID: id, Wanted: e.requestSize(perSecond), PerSecond: perSecond, AgeMs: l.table.age(id).Milliseconds()}
	l.start(func() { l.fetch(now, e, request) })
}

// fetch requests permits from the grantor and stores those granted.
func (l *Limiter) fetch(requestedAt time.Time, e *endpoint, request PermitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	l.mu.Lock()
	grantor := e.grantor
	l.mu.Unlock()
	grant, err := l.peers.RequestPermits(ctx, grantor, request)
	if grant.Lifted {
		l.table.Merge([]Limit{{EndpointID: request.EndpointID, Age: time.Duration(grant.AgeMs) * time.Millisecond}})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	e.requesting = false
	switch {
	case err != nil:
		e.nextRequest = now.Add(maxRetryDelay)
		l.log.WithFields(logrus.Fields{"event": "permits_not_asked", "endpoint": request.EndpointID, "instance": grantor.Name}).Info(err)
	case grant.Granted == 0:
		after := time.Duration(grant.AfterMs) * time.Millisecond
		e.nextRequest = now.Add(max(minRetryDelay, min(maxRetryDelay, after)))
	default:
		e.granted, e.used = grant.Granted, 0
		for range min(grant.Granted, request.Wanted) {
			e.permits = append(e.permits, requestedAt.Add(permitTTL))
		}
	}
}
