package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is what an instance reports of an engine to the planner of stages.
type Observation struct {
	Endpoint string `json:"endpoint"`
	// AgeMs is the age of the load in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Sample is the time of the engine relative to the model of its service; 0 for no new sample.
	Sample float64 `json:"sample,omitempty"`
	// Running, Waiting and Slots are the load that the engine last reported; Slots is 0 if none.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	Slots   int `json:"slots,omitempty"`
	// Slowness is the interference that the engine last reported; 0 if none.
	Slowness float64 `json:"slowness,omitempty"`
	// Ended lists the keys of the streams that have ended at the engine.
	Ended []uint32 `json:"ended,omitempty"`
}

// EngineView is the state of an engine as the planner of stages sees it.
type EngineView struct {
	Endpoint string `json:"endpoint"`
	// Slowness is the time of the engine relative to the model of its service, without interference;
	// 0 if not known.
	Slowness float64 `json:"slowness,omitempty"`
	// Streams is the number of streams in flight.
	Streams int `json:"streams"`
}

const (
	// MaxObservations is the largest number of observations in one report.
	MaxObservations = 16
	// ObservationTTL is how long an observation is used.
	ObservationTTL = 10 * time.Second
	// maxCount bounds the counts in observations and views.
	maxCount = 1 << 16
	// maxEnded bounds the ended streams in one observation.
	maxEnded = 64
)

// Valid reports whether the figures are possible.
func (o *Observation) Valid() bool {
	return o.Endpoint != "" && o.AgeMs >= 0 && validCount(o.Running) && validCount(o.Waiting) && validCount(o.Slots) &&
		validSlowness(o.Sample) && validSlowness(o.Slowness) && len(o.Ended) <= maxEnded
}

// Valid reports whether the figures are possible.
func (v *EngineView) Valid() bool {
	return v.Endpoint != "" && validCount(v.Streams) && validSlowness(v.Slowness)
}

func validCount(n int) bool { return n >= 0 && n <= maxCount }

func validSlowness(f float64) bool { return f >= 0 && !math.IsInf(f, 0) && !math.IsNaN(f) }

// StreamKey returns the key of a request in observations; 0 for none.
func StreamKey(request string) uint32 {
	if request == "" {
		return 0
	}
	return max(1, uint32(xxhash.Sum64String(request)))
}

// observationLog lists the engines that calls have observed recently.
type observationLog struct {
	entries [observationLogSize]observationEntry
	// next is the number of entries ever added.
	next int
	// reported holds the number of entries that each planner has been sent.
	reported map[string]int
}

// observationEntry is a first event or the end of a stream; key is 0 for a first event.
type observationEntry struct {
	at       time.Time
	endpoint string
	key      uint32
}

const (
	// observationLogSize covers some seconds of a busy instance.
	observationLogSize = 128
	// maxPlanners bounds the planners whose reports are tracked. Their number is that of the
	// partitions.
	maxPlanners = 256
)

func (l *observationLog) add(now time.Time, endpoint string, key uint32) {
	l.entries[l.next%observationLogSize] = observationEntry{at: now, endpoint: endpoint, key: key}
	l.next++
}

// since returns the entries that a planner has not been sent, newest first.
func (l *observationLog) since(planner string, oldest time.Time) []observationEntry {
	if len(l.reported) >= maxPlanners {
		l.reported = nil
	}
	if l.reported == nil {
		l.reported = map[string]int{}
	}
	first := max(l.reported[planner], l.next-observationLogSize)
	l.reported[planner] = l.next
	var entries []observationEntry
	for n := l.next - 1; n >= first; n-- {
		if entry := l.entries[n%observationLogSize]; !entry.at.Before(oldest) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Observations returns what was observed since the last call for the same planner, newest first.
func (b *Balancer) Observations(planner string) []Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	index := map[string]int{}
	var list []Observation
	for _, entry := range b.observed.since(planner, now.Add(-ObservationTTL)) {
		i, known := index[entry.endpoint]
		if !known {
			if len(list) == MaxObservations {
				continue
			}
			i = len(list)
			index[entry.endpoint] = i
			list = append(list, b.peek(entry.endpoint).observation(now, entry))
		}
		list[i].addEntry(entry, b.peek(entry.endpoint))
	}
	return list
}

// observation returns the observation of an engine whose newest entry is given. A stream may end
// long after the last load was reported, which is then omitted.
func (s *endpointState) observation(now time.Time, newest observationEntry) Observation {
	o := Observation{Endpoint: newest.endpoint, AgeMs: now.Sub(newest.at).Milliseconds()}
	if now.Sub(s.loadAt) < ObservationTTL {
		o.AgeMs = now.Sub(s.loadAt).Milliseconds()
		o.Running, o.Waiting, o.Slots, o.Slowness = s.load.Running, s.load.Waiting, s.load.Slots, Round(s.load.Slowness)
	}
	return o
}

// addEntry adds an entry of the engine.
func (o *Observation) addEntry(entry observationEntry, s *endpointState) {
	if entry.key != 0 && len(o.Ended) < maxEnded {
		o.Ended = append(o.Ended, entry.key)
	}
	if s.sampleAt.Equal(entry.at) {
		o.Sample = Round(s.sample)
	}
}

// Round limits a factor to two decimals, which keeps messages short.
func Round(f float64) float64 { return math.Round(f*100) / 100 }

// LearnEngines applies the view of a planner of stages to the engines that it was offered.
func (b *Balancer) LearnEngines(views []EngineView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for i := range views {
		if v := &views[i]; v.Valid() {
			s := b.state(v.Endpoint)
			s.view, s.viewAt = *v, now
		}
	}
}

// streamsTTL is how long a planner's count of streams is used.
const streamsTTL = time.Second

// streamsAt returns the number of streams at an engine as far as it is known.
func (s *endpointState) streamsAt(now time.Time) int {
	n := len(s.calls)
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadTTL {
		n = max(n, s.load.Running+s.load.Waiting)
	}
	if !s.viewAt.IsZero() && now.Sub(s.viewAt) < streamsTTL {
		n = max(n, s.view.Streams)
	}
	return n
}
