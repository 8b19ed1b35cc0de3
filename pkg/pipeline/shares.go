package pipeline

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

const (
	// minShare is the least share of a priority's demand that is admitted at a contended queue, so
	// that no priority is starved.
	minShare = 0.25
	// rankedRatio is the least part of a queue's throughput that is allocated by priority. Otherwise
	// the minimum shares of a large less urgent demand could take the whole throughput.
	rankedRatio = 0.5
	// contendedFill is the ratio of the throughput under contention to that with full batches. Calls
	// are then 80 to 90 % full, and less full calls take less time.
	contendedFill = 0.9
)

// usableThroughput returns the pieces per second that the endpoints of a queue process under
// contention; 0 if unknown.
func usableThroughput(capacity batch.Capacity) float64 {
	return max(0, contendedFill*capacity.PerSecond)
}

// contended reports whether the demand exceeds a throughput. A throughput of 0 is unknown, for
// example while all endpoints back off; forecasts account for that.
func contended(throughput float64, rates map[int]float64) bool {
	return throughput > 0 && totalRate(rates) > throughput
}

func totalRate(rates map[int]float64) float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	return total
}

// shares returns the fraction of each priority's demand to admit at a queue with the given
// throughput. Each priority gets minShare; what remains of the throughput is allocated by priority,
// the lowest number first. Nothing is excluded if the queue is not contended or only one priority
// is requested: then no other priority loses by it, and the forecasts decide.
func shares(throughput float64, rates map[int]float64) map[int]float64 {
	admitted := make(map[int]float64, len(rates))
	if len(rates) < 2 || !contended(throughput, rates) {
		for priority := range rates {
			admitted[priority] = 1
		}
		return admitted
	}
	remaining := max(throughput-minShare*totalRate(rates), rankedRatio*throughput)
	for _, priority := range slices.Sorted(maps.Keys(rates)) {
		added := min((1-minShare)*rates[priority], remaining)
		remaining -= added
		admitted[priority] = minShare + added/rates[priority]
	}
	return admitted
}

// drawn maps a request ID to a number that is evenly distributed over [0, 1). A plan is admitted by
// the shares if the number is below its share. It uses the high bits of the hash, since the low
// ones select the partition.
func drawn(request string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(request)>>(64-bits)) / (1 << bits)
}
