package decision

import (
	"time"
)

const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 3
	// firstEjection and maxEjection bound how long an endpoint stays ejected; each
	// ejection in a row doubles it.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// limitDecrease is the factor on the limit when the endpoint reports waiting work.
	limitDecrease = 0.8
	// reportHalfLife is the time after which a load report counts half.
	reportHalfLife = time.Second
	// nowhere marks a target that is in no list of available ones.
	nowhere = -1
)

// target is an endpoint with what is known of it.
type target struct {
	Endpoint
	local    bool
	inFlight int
	// limit is how many calls this instance lets run there at once. It adapts
	// between 1 and the endpoint's concurrency, so that the instances share it.
	limit       float64
	concurrency int
	lowered     time.Time
	latency     estimate
	report      Report
	reported    time.Time
	// foreign is the load that others had brought at the time of the report.
	foreign int
	// failures counts those in a row; ejections the ejections in a row.
	failures     int
	ejections    int
	ejectedUntil time.Time
	probation    bool
	// place is the index in the list of available targets, or nowhere.
	place int
	// counted is what the pool's capacity counts for this target.
	counted float64
}

// allowed is how many calls may run at the target at once now.
func (t *target) allowed() int {
	if t.probation {
		return 1
	}
	return max(1, int(t.limit))
}

func (t *target) ejected() bool { return !t.ejectedUntil.IsZero() }

func (t *target) available() bool {
	return !t.Leaving && !t.ejected() && t.inFlight < t.allowed()
}

// capacity is what the target contributes to the pool's.
func (t *target) capacity() float64 {
	if t.Leaving || t.ejected() {
		return 0
	}
	return float64(t.allowed())
}

// mean is the usual time of a call, or the pool's if none is known.
func (t *target) mean(now time.Time, pool float64) float64 {
	if t.latency.samples == 0 {
		return pool
	}
	idle := now.Sub(t.latency.last)
	if idle <= idleHalfLife {
		return t.latency.mean
	}
	// An old value drifts to the pool's, so that a target that was slow is tried
	// again.
	weight := idleHalfLife.Seconds() / idle.Seconds()
	return weight*t.latency.mean + (1-weight)*pool
}

// load is the calls that run or wait there, as far as known.
func (t *target) load(now time.Time) float64 {
	load := float64(t.inFlight)
	if t.foreign > 0 {
		age := now.Sub(t.reported)
		load += float64(t.foreign) / (1 + age.Seconds()/reportHalfLife.Seconds())
	}
	return load
}

// uncontended is the time that a call would have taken without waiting at the
// endpoint: its time less the part that the load above the concurrency explains.
func (t *target) uncontended(took time.Duration) time.Duration {
	load := float64(t.report.Running+t.report.Waiting) / float64(max(t.concurrency, 1))
	return time.Duration(float64(took) / max(1, load))
}

// score is lower for a better choice: the time a call would likely take there.
func (t *target) score(now time.Time, poolMean float64) float64 {
	return (1 + t.load(now)/float64(t.concurrency)) * max(t.mean(now, poolMean), 1e-6)
}

// observe takes in a load report and adapts the limit: down when work waits at the
// endpoint, up by one for each limit's worth of calls that filled it.
func (t *target) observe(now time.Time, r Report) {
	t.report = r
	t.reported = now
	t.foreign = max(0, r.Running+r.Waiting-t.inFlight)
	if r.Waiting > 0 {
		t.lower(now)
		return
	}
	if t.inFlight >= t.allowed() {
		t.limit = min(float64(t.concurrency), t.limit+1/t.limit)
	}
}

// lower reduces the limit, once for each usual time of a call, since the effect
// shows only after that.
func (t *target) lower(now time.Time) {
	if now.Sub(t.lowered) < seconds(t.latency.mean) {
		return
	}
	t.lowered = now
	t.limit = max(1, t.limit*limitDecrease)
}

// succeeded notes a success.
func (t *target) succeeded() {
	t.failures = 0
	t.ejections = 0
	t.probation = false
}

// eject takes the target out for a time that doubles with each ejection in a row.
func (t *target) eject(now time.Time) {
	pause := firstEjection << min(t.ejections, 8)
	t.ejectedUntil = now.Add(min(pause, maxEjection))
	t.ejections++
	t.failures = 0
}

// readmit ends the ejection: one call at a time until one succeeds.
func (t *target) readmit() {
	t.ejectedUntil = time.Time{}
	t.probation = true
}
