package pipeline

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
)

// observationCounters counts the observations of engines by what became of them.
type observationCounters struct{ used, stale, malformed *metrics.Counter }

func newObservationCounters(set *metrics.Set) observationCounters {
	return observationCounters{
		used:      set.NewCounter(`cobaltcroft_observations_total{outcome="used"}`),
		stale:     set.NewCounter(`cobaltcroft_observations_total{outcome="stale"}`),
		malformed: set.NewCounter(`cobaltcroft_observations_total{outcome="malformed"}`),
	}
}

// Observe applies what an instance has observed of engines. Observations of engines that are not
// known, malformed and stale ones are dropped.
func (p *Planner) Observe(list []balance.Observation, known func(endpoint string) bool) {
	list = list[:min(len(list), balance.MaxObservations)]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for i := range list {
		o := &list[i]
		switch {
		case !o.Valid() || known != nil && !known(o.Endpoint):
			p.observations.malformed.Inc()
		case o.AgeMs > balance.ObservationTTL.Milliseconds():
			p.observations.stale.Inc()
		default:
			p.observations.used.Inc()
			p.readers.engines.observe(now, o)
		}
	}
}

// Engines returns the state of the engines offered in a plan, as far as it is known.
func (p *Planner) Engines(options []Reader) []balance.EngineView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers.engines.views(p.clock.Now(), options)
}

// logChoice logs the choice of an engine.
func (p *Planner) logChoice(request, chosen string, costs []readerCost) {
	if chosen == "" || !p.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	candidates := map[string]int64{}
	for _, c := range costs {
		candidates[c.endpoint] = c.cost.Milliseconds()
	}
	p.log.WithFields(logrus.Fields{"event": "engine_chosen", "id": request, "endpoint": chosen, "costs_ms": candidates}).Debug()
}
