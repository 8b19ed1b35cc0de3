// Package overload judges whether this instance has more work than it can carry, for want of processor time
// or of what others leave it, and limits the new connections that it takes while it has. Clients whose
// connection is closed unread try another instance at once; what an instance takes beyond what it can carry is
// served late, or never.
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
	// soleWork is the processor time of work that other work has to wait for now and then, such as a garbage
	// collection. On a machine with a share of a processor it takes as many times as long.
	soleWork = 3 * time.Millisecond
	// maxTolerated bounds the lateness that is taken for such work.
	maxTolerated = 100 * time.Millisecond
	// logPeriod is the time between two log lines while connections are limited.
	logPeriod = time.Second
)

// Options configures a Monitor.
type Options struct {
	// MaxWait is how long work may wait for a processor; 0 limits no connections.
	MaxWait time.Duration
	// Processors is the number of processors that the instance may use, also a fraction; 0 if unknown.
	Processors float64
	Waits      Waits
	Clock      clockwork.Clock
	Metrics    *metrics.Set
	Log        *logrus.Entry
}

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
	// tolerated is how late a timer may fire without a sign of too much work.
	tolerated time.Duration

	accepted *metrics.Counter
	closed   *metrics.Counter

	mu      sync.Mutex
	limiter limiter
	// exhausted is set if a request was refused in this period for want of something of this instance.
	exhausted bool
	// loggedAt is when the limit was last logged; acceptedSince and closedSince count connections since then.
	loggedAt      time.Time
	acceptedSince int
	closedSince   int
}

// NewMonitor returns a monitor with the given options.
func NewMonitor(o Options) *Monitor {
	set := o.Metrics
	m := &Monitor{
		waits:     o.Waits,
		clock:     o.Clock,
		log:       o.Log,
		tolerated: toleratedLateness(o.Processors),
		accepted:  set.NewCounter("cobaltcroft_connections_accepted_total"),
		closed:    set.NewCounter("cobaltcroft_connections_closed_unread_total"),
		limiter:   newLimiter(o.MaxWait, o.Clock.Now()),
	}
	set.NewGauge("cobaltcroft_processor_wait_seconds", func() float64 { return m.ProcessorWait().Seconds() })
	set.NewGauge("cobaltcroft_connections_limit_per_second", m.connectionLimit)
	return m
}

// toleratedLateness returns how late a timer may fire on a machine with a number of processors.
func toleratedLateness(processors float64) time.Duration {
	if processors <= 0 || processors > 1 {
		processors = 1
	}
	return min(maxTolerated, time.Duration(float64(soleWork)/processors))
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

// ReportExhausted records that a request was refused for want of something that this instance has too little of
// and others may have, such as connections to endpoints.
func (m *Monitor) ReportExhausted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exhausted = true
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
	wait := max(0, late-m.tolerated) + m.waits.Mean()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	before := m.limiter.limited
	if m.exhausted {
		wait = max(wait, m.limiter.maxWait)
	}
	m.limiter.update(now, wait)
	if m.limiter.limited != before || m.limiter.limited && now.Sub(m.loggedAt) >= logPeriod {
		m.logLimit(now)
	}
	m.exhausted = false
}

func (m *Monitor) logLimit(now time.Time) {
	fields := logrus.Fields{
		"event": "connections_limited", "limited": m.limiter.limited, "per_second": int(m.limiter.rate),
		"wait_ms": m.limiter.waits[0].Milliseconds(), "accepted": m.acceptedSince, "closed_unread": m.closedSince, "exhausted": m.exhausted,
	}
	m.log.WithFields(fields).Info()
	m.loggedAt, m.acceptedSince, m.closedSince = now, 0, 0
}
