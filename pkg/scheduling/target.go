package scheduling

import (
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected.
	failuresToEject = 3
	// firstEjection and maxEjection bound the ejection time, which doubles with each consecutive
	// ejection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// limitDecrease is the multiplicative decrease of the limit.
	limitDecrease = 0.8
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = time.Second
	// notAvailable is the availableIndex of a target that is in no list.
	notAvailable = -1
)

// target is the state of one endpoint.
type target struct {
	Endpoint
	local    bool
	inFlight int
	// limit is the number of concurrent calls that this instance allows at the endpoint. It adapts
	// between 1 and the endpoint's concurrency, because other instances use the endpoint too.
	limit          float64
	concurrency    int
	limitReducedAt time.Time
	latency        estimate
	report         Report
	reportedAt     time.Time
	// otherLoad is the load from other callers at the time of the last report.
	otherLoad int
	// Numbers of consecutive failures and ejections.
	failures     int
	ejections    int
	ejectedUntil time.Time
	probation    bool
	// availableIndex is the position in the list of available targets, or notAvailable.
	availableIndex int
	// countedCapacity is the target's contribution to the pool's capacity.
	countedCapacity float64
}

// effectiveLimit is the number of calls currently allowed at the target.
func (t *target) effectiveLimit() int {
	if t.probation {
		return 1
	}
	return max(1, int(t.limit))
}

func (t *target) ejected() bool { return !t.ejectedUntil.IsZero() }

func (t *target) available() bool {
	return !t.Leaving && !t.ejected() && t.inFlight < t.effectiveLimit()
}

// capacity is the target's contribution to the capacity of the pool.
func (t *target) capacity() float64 {
	if t.Leaving || t.ejected() {
		return 0
	}
	return float64(t.effectiveLimit())
}

// mean is the mean service time of the target, or that of the pool before the first sample.
func (t *target) mean(now time.Time, pool float64) float64 {
	if t.latency.samples == 0 {
		return pool
	}
	idle := now.Sub(t.latency.last)
	if idle <= idleHalfLife {
		return t.latency.mean
	}
	// An old mean converges to the pool's, so that a target that was slow is tried again.
	weight := idleHalfLife.Seconds() / idle.Seconds()
	return weight*t.latency.mean + (1-weight)*pool
}

// load estimates the calls that run or wait at the endpoint.
func (t *target) load(now time.Time) float64 {
	load := float64(t.inFlight)
	if t.otherLoad > 0 {
		age := now.Sub(t.reportedAt)
		load += float64(t.otherLoad) / (1 + age.Seconds()/reportHalfLife.Seconds())
	}
	return load
}

// serviceTime estimates the latency of a call without queueing at the endpoint, by dividing it by
// the reported load relative to the concurrency.
func (t *target) serviceTime(took time.Duration) time.Duration {
	load := float64(t.report.Running+t.report.Waiting) / float64(max(t.concurrency, 1))
	return time.Duration(float64(took) / max(1, load))
}

// score is the expected latency of a call at the target; lower is better.
func (t *target) score(now time.Time, poolMean float64) float64 {
	return (1 + t.load(now)/float64(t.concurrency)) * max(t.mean(now, poolMean), 1e-6)
}

// applyReport records a load report and adapts the limit: it decreases when calls wait at the
// endpoint, and otherwise grows by one per limit's worth of calls that used it fully.
func (t *target) applyReport(now time.Time, r Report) {
	t.report = r
	t.reportedAt = now
	t.otherLoad = max(0, r.Running+r.Waiting-t.inFlight)
	if r.Waiting > 0 {
		t.reduceLimit(now)
		return
	}
	if t.inFlight >= t.effectiveLimit() {
		t.limit = min(float64(t.concurrency), t.limit+1/t.limit)
	}
}

// reduceLimit decreases the limit at most once per mean latency, the delay after which the effect
// is visible.
func (t *target) reduceLimit(now time.Time) {
	if now.Sub(t.limitReducedAt) < seconds(t.latency.mean) {
		return
	}
	t.limitReducedAt = now
	t.limit = max(1, t.limit*limitDecrease)
}

func (t *target) recordSuccess() {
	t.failures = 0
	t.ejections = 0
	t.probation = false
}

// eject ejects the target with exponential backoff.
func (t *target) eject(now time.Time) {
	duration := firstEjection << min(t.ejections, 8)
	t.ejectedUntil = now.Add(min(duration, maxEjection))
	t.ejections++
	t.failures = 0
}

// readmit ends the ejection. The target gets one call at a time until one succeeds.
func (t *target) readmit() {
	t.ejectedUntil = time.Time{}
	t.probation = true
}
