// Package overload judges whether this instance has more work than processor time.
package overload

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// measurePeriod is the time between two measurements.
	measurePeriod = 100 * time.Millisecond
	// logPeriod is the time between two log lines while work waits for longer than loggedWait.
	logPeriod  = time.Second
	loggedWait = 10 * time.Millisecond
)

// Waits measures how long goroutines wait for a processor.
type Waits interface {
	// Since returns the sum and the number of the waits since the last call.
	Since() (sum time.Duration, count uint64)
}

// Monitor measures the load of this instance. It is safe for concurrent use.
type Monitor struct {
	waits    Waits
	clock    clockwork.Clock
	log      *logrus.Entry
	loggedAt time.Time
	// wait is the mean wait of the newest period in nanoseconds.
	wait atomic.Int64
}

// NewMonitor returns a monitor that registers its metrics in set.
func NewMonitor(waits Waits, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Monitor {
	m := &Monitor{waits: waits, clock: clock, log: log}
	set.NewGauge("cobaltcroft_processor_wait_seconds", func() float64 { return m.ProcessorWait().Seconds() })
	return m
}

// ProcessorWait returns how long goroutines have waited for a processor lately, in the mean.
func (m *Monitor) ProcessorWait() time.Duration { return time.Duration(m.wait.Load()) }

// Run measures until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	ticker := m.clock.NewTicker(measurePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.measure()
		}
	}
}

func (m *Monitor) measure() {
	sum, count := m.waits.Since()
	wait := sum / time.Duration(max(1, count))
	m.wait.Store(int64(wait))
	now := m.clock.Now()
	if wait < loggedWait || now.Sub(m.loggedAt) < logPeriod {
		return
	}
	m.loggedAt = now
	m.log.WithFields(logrus.Fields{"event": "processor_wait", "ms": wait.Milliseconds()}).Info()
}
