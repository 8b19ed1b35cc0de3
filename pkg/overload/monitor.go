// Package overload judges whether this instance has more work than processor time, and limits the new
// connections that it takes while it has. Clients whose connection is closed unread try another instance at
// once; what an instance takes without the processor time for it is served late by all of them, or never.
package overload

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// toleratedStall is how long a process may stand still although it uses less processor time than it has:
	// Linux grants limited processor time in periods of 100 ms.
	toleratedStall = 100 * time.Millisecond
	// logPeriod is the time between two log lines while connections are limited.
	logPeriod = time.Second
)

// Waits measures how long goroutines wait for a processor.
type Waits interface {
	// Mean returns the mean wait since the last call; 0 if none has waited.
	Mean() time.Duration
}

// Monitor judges the load of this instance. It is safe for concurrent use.
type Monitor struct {
	waits Waits
	clock clockwork.Clock
	log   *logrus.Entry

	accepted *metrics.Counter
	closed   *metrics.Counter

	mu      sync.Mutex
	limiter limiter
	// loggedAt is when the limit was last logged; acceptedSince and closedSince count connections since then.
	loggedAt      time.Time
	acceptedSince int
	closedSince   int
}

// NewMonitor returns a monitor that registers its metrics in set. Connections are limited while goroutines
// wait for a processor for longer than maxWait in the mean; 0 limits none.
func NewMonitor(maxWait time.Duration, waits Waits, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Monitor {
	m := &Monitor{
		waits:    waits,
		clock:    clock,
		log:      log,
		accepted: set.NewCounter("cobaltcroft_connections_accepted_total"),
		closed:   set.NewCounter("cobaltcroft_connections_closed_unread_total"),
		limiter:  newLimiter(maxWait, clock.Now()),
	}
	set.NewGauge("cobaltcroft_processor_wait_seconds", func() float64 { return m.ProcessorWait().Seconds() })
	set.NewGauge("cobaltcroft_connections_limit_per_second", m.connectionLimit)
	return m
}

// ProcessorWait returns how long goroutines have waited for a processor in the newest period, in the mean.
func (m *Monitor) ProcessorWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.waits[0]
}

// connectionLimit returns the limit of new connections per second; 0 for none.
func (m *Monitor) connectionLimit() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.limiter.limited {
		return 0
	}
	return m.limiter.rate
}

// Limited reports whether new connections are limited.
func (m *Monitor) Limited() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.limited
}

// Admit reports whether a new connection is taken. If not, it should be closed unread.
func (m *Monitor) Admit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.limiter.admit(m.clock.Now()) {
		m.closedSince++
		m.closed.Inc()
		return false
	}
	m.acceptedSince++
	m.accepted.Inc()
	return true
}

// Run measures until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	for {
		due := m.clock.Now().Add(measurePeriod)
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(measurePeriod):
			m.measure(m.clock.Since(due))
		}
	}
}

// measure takes the longer of two waits: goroutines wait in the runtime's queue while others run, and the
// whole process, with its timers, while the machine gives it no processor.
func (m *Monitor) measure(late time.Duration) {
	wait := max(late-toleratedStall, m.waits.Mean())
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	before := m.limiter.limited
	m.limiter.update(now, wait)
	if m.limiter.limited != before || m.limiter.limited && now.Sub(m.loggedAt) >= logPeriod {
		m.logLimit(now)
	}
}

func (m *Monitor) logLimit(now time.Time) {
	fields := logrus.Fields{
		"event": "connections_limited", "limited": m.limiter.limited, "per_second": int(m.limiter.rate),
		"wait_ms": m.limiter.waits[0].Milliseconds(), "accepted": m.acceptedSince, "closed_unread": m.closedSince,
	}
	m.log.WithFields(fields).Info()
	m.loggedAt, m.acceptedSince, m.closedSince = now, 0, 0
}
