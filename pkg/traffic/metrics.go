package traffic

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// Metrics are the request execution metrics of one process.
type Metrics struct {
	set            *metrics.Set
	attempts       *metrics.Counter
	retries        *metrics.Counter
	hedges         *metrics.Counter
	resumes        *metrics.Counter
	droppedAnswers *metrics.Counter
}

// NewMetrics returns metrics registered in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:            set,
		attempts:       set.NewCounter("cobaltcroft_attempts_total"),
		retries:        set.NewCounter("cobaltcroft_retries_total"),
		hedges:         set.NewCounter("cobaltcroft_hedges_total"),
		resumes:        set.NewCounter("cobaltcroft_stream_resumes_total"),
		droppedAnswers: set.NewCounter("cobaltcroft_dropped_answers_total"),
	}
}

func (m *Metrics) finished(pipeline string, outcome request.Outcome) {
	name := fmt.Sprintf("cobaltcroft_requests_total{pipeline=%q,outcome=%q}", pipeline, outcome)
	m.set.GetOrCreateCounter(name).Inc()
}
