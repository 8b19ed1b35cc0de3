package balance

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefillModel estimates the time to the first event of an engine of a service from the number of
// prompt tokens to prefill. There is one model per service, because an instance calls one engine
// of many too rarely to fit a model for each. It is not safe for concurrent use.
type prefillModel struct {
	coefficients coefficients
	// samples holds the newest samples by the size of the prompt, so that frequent small prompts do
	// not displace rare large ones.
	samples [sizeClasses][]prefillSample
	// next is the index in each class of the sample to replace.
	next [sizeClasses]int
	// overdue counts the overdue samples since the last one that was not.
	overdue int
	// eventInterval is the median time between events; 0 if not known.
	eventInterval time.Duration
}

const (
	// sizeClasses is the number of size classes. Each covers a range of twice the size of the
	// previous one; the first ends at sizeClassTokens.
	sizeClasses     = 8
	sizeClassTokens = 1024
	// samplesPerClass bounds the samples of a size class.
	samplesPerClass = 16
	// maxOverdueSamples is the number of consecutive overdue samples of a service that are ignored.
	// A longer run means that the model is wrong, not the engines.
	maxOverdueSamples = 16
)

// prefillSample is the time to the first event of a call on an otherwise idle engine.
type prefillSample struct {
	tokens float64
	// milliseconds is the time divided by the slowness that the engine reported.
	milliseconds float64
	// weight is below 1 if other instances may have caused some of the tokens to be cached.
	weight float64
}

func newPrefillModel() *prefillModel { return &prefillModel{coefficients: priorCoefficients} }

// prefillPrior is the model of services without samples. It must not be modified.
var prefillPrior = newPrefillModel()

// base is the time to the first event for a fully cached prompt.
func (m *prefillModel) base() time.Duration { return milliseconds(m.coefficients[0]) }

// prefill is the time to prefill a number of tokens.
func (m *prefillModel) prefill(tokens int) time.Duration {
	return milliseconds(m.coefficients.predict(float64(tokens)) - m.coefficients[0])
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// add adds a sample and fits the model.
func (m *prefillModel) add(s prefillSample) {
	class := min(sizeClasses-1, bits.Len(uint(s.tokens)/sizeClassTokens))
	if len(m.samples[class]) < samplesPerClass {
		m.samples[class] = append(m.samples[class], s)
	} else {
		m.samples[class][m.next[class]] = s
		m.next[class] = (m.next[class] + 1) % samplesPerClass
	}
	m.coefficients = m.coefficients.fit(m.samples[:])
}

// countOverdue records whether a sample is overdue, and reports whether it counts.
func (m *prefillModel) countOverdue(overdue bool) bool {
	if !overdue {
		m.overdue = 0
		return true
	}
	m.overdue = min(m.overdue+1, maxOverdueSamples+1)
	return m.overdue > maxOverdueSamples
}

// export sets the gauges of the model's parameters.
func (m *prefillModel) export(set *metrics.Set, service string) {
	if set == nil {
		return
	}
	for i, name := range []string{"base_ms", "ms_per_thousand_tokens", "ms_per_million_pairs"} {
		set.GetOrCreateGauge(fmt.Sprintf(`cobaltcroft_prefill_%s{service=%q}`, name, service), nil).Set(m.coefficients[i])
	}
}

// modelOf returns the prefill model of a service for reading.
func (b *Balancer) modelOf(service string) *prefillModel {
	if m := b.models[service]; m != nil {
		return m
	}
	return prefillPrior
}

// modelFor returns the prefill model of a service for updates.
func (b *Balancer) modelFor(service string) *prefillModel {
	m := b.models[service]
	if m == nil {
		m = newPrefillModel()
		b.models[service] = m
	}
	return m
}

// Export registers the parameters of the prefill models in set as they are learnt.
func (b *Balancer) Export(set *metrics.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics = set
}

// learnPrefill adds a call that has returned its first event to the model of its service. Calls
// that had to wait or to fetch parts, or whose engine has failed recently, say nothing about the
// prefill time.
func (b *Balancer) learnPrefill(c *Call, took time.Duration) {
	s := b.state(c.Endpoint.ID)
	if c.ahead > 0 || c.waited || c.Source != nil || s.failures > 0 || c.Ejected {
		return
	}
	m := b.modelFor(c.Endpoint.Service)
	took = time.Duration(float64(took) / c.slowness)
	if !m.countOverdue(took > overdueAfter(c.nominal)) {
		return
	}
	m.add(c.sample(took))
	m.export(b.metrics, c.Endpoint.Service)
}

// sample returns the sample of a call. Only the last part of a prompt is never shared; other
// instances may have caused the rest to be cached, of which half is assumed to be. The weight is
// the fourth power of the fraction of tokens that are certain.
func (c *Call) sample(took time.Duration) prefillSample {
	s := prefillSample{milliseconds: float64(took) / float64(time.Millisecond), weight: 1}
	if c.uncached > 0 {
		own := min(c.uncached, c.parts[len(c.parts)-1].Tokens)
		certain := float64(own) / float64(c.uncached)
		s.tokens = float64(own+c.uncached) / 2
		s.weight = certain * certain * certain * certain
	}
	return s
}
