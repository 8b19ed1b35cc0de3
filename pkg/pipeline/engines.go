package pipeline

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
)

const (
	// engineSpeedHalfLife is the half-life of an engine's deviation from the mean speed. All
	// instances together report an engine about once a second.
	engineSpeedHalfLife = 10 * time.Second
	// interferenceHalfLife is the half-life of a reported interference, which lasts some 600 ms.
	interferenceHalfLife = 300 * time.Millisecond
	// meanSlownessWeight is the weight of a sample in the mean slowness.
	meanSlownessWeight = 0.02
	// maxStreamTime is how long a stream counts whose end is not reported. Before that, it expires
	// after streamTimeFactor times the mean length of a stream.
	maxStreamTime    = 30 * time.Second
	streamTimeFactor = 2
	// streamTimeWeight is the weight of a stream in the mean length.
	streamTimeWeight = 0.05
	// streamCost is the cost of another stream at an engine of usual speed: each event takes longer.
	streamCost = 20 * time.Millisecond
	// stallShare is the cost for each stream at an engine that pauses during the prefill of a new
	// one, relative to the prefill time.
	stallShare = 0.3
	// occupationMargin is the factor by which a prefill may take longer than expected because of
	// interference that was not reported yet. Prefills that follow each other without a gap cause
	// long pauses.
	occupationMargin = 2.5
	// maxCorrection bounds the factor by which the speed known here may change a reported cost.
	maxCorrection = 8
	// engineTTL is how long an engine without placements and observations is kept.
	engineTTL = maxStreamTime
)

// engineTable holds what a planner knows of the engines where it places requests: their speed and
// the streams in flight. It is not safe for concurrent use.
type engineTable struct {
	engines map[string]*engine
	// meanSlowness is that of the engines that were observed recently.
	meanSlowness float64
	// sampled is set once the speed of any engine is known.
	sampled bool
	// streamTime is the mean length of the streams whose end was reported; 0 if none.
	streamTime time.Duration
	sweptAt    time.Time
}

// engine is the state of an engine.
type engine struct {
	speed balance.EngineSpeed
	// placed holds when streams were placed that have not ended, by key.
	placed map[uint32]time.Time
	load   balance.Load
	loadAt time.Time
	// ended counts the streams that have ended since the load was reported.
	ended  int
	usedAt time.Time
}

func newEngineTable() engineTable {
	return engineTable{engines: map[string]*engine{}, meanSlowness: 1}
}

// engine returns the state of an engine, creating it if necessary.
func (t *engineTable) engine(now time.Time, id string) *engine {
	t.sweep(now)
	e := t.engines[id]
	if e == nil {
		e = &engine{placed: map[uint32]time.Time{}}
		t.engines[id] = e
	}
	e.usedAt = now
	return e
}

// sweep removes engines that are no longer used.
func (t *engineTable) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < engineTTL {
		return
	}
	t.sweptAt = now
	for id, e := range t.engines {
		if now.Sub(e.usedAt) > engineTTL {
			delete(t.engines, id)
		}
	}
}

// place counts a stream that begins at an engine.
func (t *engineTable) place(now time.Time, id, request string) {
	if key := balance.StreamKey(request); key != 0 {
		t.engine(now, id).placed[key] = now
	}
}

// observe applies a valid observation.
func (t *engineTable) observe(now time.Time, o *balance.Observation) {
	e := t.engine(now, o.Endpoint)
	if o.Sample > 0 {
		t.sampled = true
		e.speed.Add(now, o.Sample, engineSpeedHalfLife)
		t.meanSlowness += meanSlownessWeight * (e.speed.At(now, 1) - t.meanSlowness)
	}
	if at := now.Add(-time.Duration(o.AgeMs) * time.Millisecond); o.Slots > 0 && at.After(e.loadAt) {
		e.load = balance.Load{Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Slowness: o.Slowness}
		e.loadAt, e.ended = at, 0
	}
	for _, key := range o.Ended {
		t.end(now, e, key)
	}
}

// end counts a stream that has ended.
func (t *engineTable) end(now time.Time, e *engine, key uint32) {
	e.ended++
	placedAt, known := e.placed[key]
	if !known {
		return
	}
	delete(e.placed, key)
	length := now.Sub(placedAt)
	if t.streamTime == 0 {
		t.streamTime = length
	}
	t.streamTime += time.Duration(streamTimeWeight * float64(length-t.streamTime))
}

// streams returns the number of streams at an engine: those that it reported, and those that were
// placed since then; without a recent report, those that were placed.
func (t *engineTable) streams(now time.Time, e *engine) int {
	expiry := maxStreamTime
	if t.streamTime > 0 {
		expiry = min(expiry, streamTimeFactor*t.streamTime)
	}
	since := 0
	for key, at := range e.placed {
		switch {
		case now.Sub(at) > expiry:
			delete(e.placed, key)
		case at.After(e.loadAt):
			since++
		}
	}
	if now.Sub(e.loadAt) > balance.ObservationTTL {
		return len(e.placed)
	}
	return max(since, e.load.Running+e.load.Waiting+since-e.ended)
}

// slowness returns the time of an engine relative to its service, including its interference.
func (t *engineTable) slowness(now time.Time, e *engine) float64 {
	slowness := e.speed.At(now, t.meanSlowness)
	if e.load.Slowness > 0 {
		slowness *= 1 + balance.Decay(now.Sub(e.loadAt), interferenceHalfLife)*(e.load.Slowness-1)
	}
	return slowness
}

// unknownEngine is the state of an engine without placements and observations, which has the mean
// speed. It must not be modified.
var unknownEngine = &engine{}

// peek returns the state of an engine for reading.
func (t *engineTable) peek(id string) *engine {
	if e := t.engines[id]; e != nil {
		return e
	}
	return unknownEngine
}

// factor returns by how much the times in an option are to be multiplied: 1 for options from
// earlier versions and until the speed of any engine is known.
func (t *engineTable) factor(now time.Time, option *Reader) float64 {
	if option.Slowness <= 0 || !t.sampled {
		return 1
	}
	e := t.peek(option.Endpoint)
	return min(maxCorrection, max(1./maxCorrection, t.slowness(now, e)/option.Slowness))
}

// reading returns the expected prefill time of an option.
func (t *engineTable) reading(now time.Time, option *Reader) time.Duration {
	return time.Duration(t.factor(now, option) * float64(option.ReadingMs) * float64(time.Millisecond))
}

// occupation returns how long an engine counts as occupied by the prefill of a request.
func (t *engineTable) occupation(now time.Time, option *Reader) time.Duration {
	reading := t.reading(now, option)
	if option.Slowness > 0 {
		reading = time.Duration(occupationMargin * float64(reading))
	}
	return reading
}

// correction returns what is to be added to the cost of an option for the speed of the engine and
// its streams, and whether it has no free slot. Options from earlier versions are not corrected.
func (t *engineTable) correction(now time.Time, option *Reader, wait time.Duration) (cost time.Duration, full bool) {
	if option.Slowness <= 0 {
		return 0, false
	}
	e := t.peek(option.Endpoint)
	reading := t.reading(now, option)
	cost = reading - time.Duration(option.ReadingMs)*time.Millisecond
	streams := t.streams(now, e)
	perStream := t.slowness(now, e)*float64(streamCost) + stallShare*float64(wait+reading)
	slots := max(option.Slots, e.load.Slots)
	cost += time.Duration(float64(streams) * perStream * relativeBatch(slots))
	return cost, slots > 0 && streams >= slots
}

// referenceSlots is the batch size for which streamCost and stallShare hold.
const referenceSlots = 12

// relativeBatch returns the weight of one stream at an engine: an engine with larger batches is
// slowed less by each of them. An engine that does not report its slots counts like the reference.
func relativeBatch(slots int) float64 {
	if slots <= 0 {
		return 1
	}
	return referenceSlots / float64(slots)
}

// views returns the state of the engines offered in a plan.
func (t *engineTable) views(now time.Time, options []Reader) []balance.EngineView {
	var views []balance.EngineView
	for i := range options {
		if e := t.engines[options[i].Endpoint]; e != nil {
			view := balance.EngineView{Endpoint: options[i].Endpoint, Streams: t.streams(now, e)}
			if e.speed.Known() {
				view.Slowness = balance.Round(e.speed.At(now, t.meanSlowness))
			}
			views = append(views, view)
		}
	}
	return views
}
