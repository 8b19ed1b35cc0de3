package pipeline

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time constant of the demand averages. Bursts last several seconds, and
	// refused callers return after minRetryDelay at the earliest.
	demandPeriod = time.Second
	// minDemand is the demand in pieces per second below which a meter is removed.
	minDemand = 0.01
	// maxMeters bounds the priorities that are metered separately at a queue. Priorities of further
	// plans, which may come from malformed messages, count as the least urgent one metered.
	maxMeters = 64
)

// demand is the pieces requested at a queue by plans admitted or refused, by priority. It is not
// safe for concurrent use. The zero value is ready for use.
type demand struct{ meters map[int]meter }

// meter is an exponential average of pieces per second, as of a time.
type meter struct {
	rate float64
	at   time.Time
}

// rateAt returns the average at a time.
func (m meter) rateAt(now time.Time) float64 {
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandPeriod.Seconds())
}

// record adds the pieces of a plan.
func (d *demand) record(now time.Time, priority, pieces int) {
	priority = d.metered(priority)
	d.set(now, priority, d.meters[priority].rateAt(now)+float64(pieces)/demandPeriod.Seconds())
}

func (d *demand) set(now time.Time, priority int, rate float64) {
	if d.meters == nil {
		d.meters = map[int]meter{}
	}
	d.meters[priority] = meter{rate: rate, at: now}
}

// metered returns the priority under which a priority is metered.
func (d *demand) metered(priority int) int {
	if _, known := d.meters[priority]; known || len(d.meters) < maxMeters {
		return priority
	}
	least := math.MinInt
	for other := range d.meters {
		least = max(least, other)
	}
	return least
}

// rates returns the pieces per second by priority and removes idle meters.
func (d *demand) rates(now time.Time) map[int]float64 {
	rates := make(map[int]float64, len(d.meters))
	for priority, m := range d.meters {
		rate := m.rateAt(now)
		if rate < minDemand {
			delete(d.meters, priority)
			continue
		}
		rates[priority] = rate
	}
	return rates
}
