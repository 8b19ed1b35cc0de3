package pipeline_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

const (
	replaySlots    = 12
	replayInterval = time.Second / 335
	// replayPause is the length of prefills without a gap that counts as a pause of other streams.
	replayPause = 400 * time.Millisecond
	replayLate  = time.Second
)

// noStages is the batcher of plans without stages.
type noStages struct{ pipeline.Batcher }

func (noStages) Inspect(context.Context, []batch.Queue) {}

// replayEngine runs prefills one after another, during which its streams pause.
type replayEngine struct {
	slowness, interference    float64
	disturbedUntil            time.Time
	prefillFrom, prefillUntil time.Time
	streams                   []*replayStream
	placed                    int
}

type replayStream struct {
	call          *balance.Call
	firstAt, ends time.Time
	begun, paused bool
}

// begin adds a stream and returns the time of its first event.
func (e *replayEngine) begin(now time.Time, call *balance.Call, tokens float64) time.Time {
	from := now
	if n := len(e.streams); n >= replaySlots {
		from = e.streams[n-replaySlots].ends
	}
	if from.After(e.prefillUntil) {
		e.prefillFrom, e.prefillUntil = from, from
	}
	ms := e.slowness * e.interference * float64(time.Millisecond)
	e.prefillUntil = e.prefillUntil.Add(time.Duration(ms * (tokens/100 + 0.3*tokens*tokens/2e6)))
	for _, s := range e.streams {
		s.paused = s.paused || s.begun && s.ends.After(e.prefillFrom) && e.prefillUntil.Sub(e.prefillFrom) > replayPause
	}
	first := e.prefillUntil.Add(time.Duration(55 * ms))
	e.streams = append(e.streams, &replayStream{call: call, firstAt: first, ends: first.Add(time.Duration(e.slowness * 3 * float64(time.Second)))})
	return first
}

// advance reports first events and ends of streams, and returns the number of those that paused.
func (e *replayEngine) advance(now time.Time) (paused int) {
	if now.After(e.disturbedUntil) {
		e.interference = 1
	}
	e.streams = slices.DeleteFunc(e.streams, func(s *replayStream) bool {
		if !s.begun && now.After(s.firstAt) {
			s.begun = true
			s.call.RecordLoad(&balance.Load{Running: min(replaySlots, len(e.streams)), Waiting: max(0, len(e.streams)-replaySlots), Slots: replaySlots, Slowness: e.interference})
			s.call.EventsReceived(1)
		}
		if now.Before(s.ends) {
			return false
		}
		s.call.EventsReceived(100)
		s.call.End(balance.Succeeded, nil)
		if s.paused {
			paused++
		}
		return true
	})
	return paused
}

// replayResult summarises a replay in shares of the streams. Spread is the variance of the streams
// per engine, each divided by the speed of the engine, relative to the square of their mean.
type replayResult struct {
	Spread, Slow, OverSlots, Late, Paused float64
	Fewest, Median, Most                  int
}

// replayEngines places 335 streams a second of 83 instances on 140 engines, four of five through
// planners. A quarter of the engines is slow, and a sixth is disturbed at any time.
func replayEngines(exchange bool, planners int) (r replayResult) {
	const run, warmUp = 20 * time.Second, 8 * time.Second
	clock, random := clockwork.NewFakeClock(), rand.New(rand.NewPCG(1, 2))
	engines, all, index := make([]replayEngine, 140), []fleet.Endpoint{}, map[string]int{}
	for i := range engines {
		all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "model", FailureDomain: fmt.Sprint("zone-", i%3), Slots: replaySlots})
		index[all[i].ID] = i
		engines[i].slowness, engines[i].interference = 1/1.2, 1
		if i%4 == 0 {
			engines[i].slowness = 1 / 0.55
		}
	}
	balancers, owners := make([]*balance.Balancer, 83), make([]*pipeline.Planner, planners)
	for i := range balancers {
		balancers[i] = balance.New(clock, notice.NewBackoffs(clock, notice.Unlimited{}, logging.Discard().For("balance")))
	}
	for i := range owners {
		owners[i] = pipeline.NewPlanner(noStages{}, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	}
	total := 0.0
	for n := range int(run / replayInterval) {
		clock.Advance(replayInterval)
		now, counted := clock.Now(), n > int(warmUp/replayInterval)
		for i := range engines {
			if paused := engines[i].advance(now); counted {
				r.Paused += float64(paused)
			}
		}
		if e := &engines[random.IntN(len(engines))]; random.Float64() < float64(len(engines))*float64(replayInterval)/float64(3600*time.Millisecond) {
			e.interference, e.disturbedUntil = 2.5, now.Add(600*time.Millisecond)
		}
		tokens := []int{6_610, 6_610, 11_992}[random.IntN(3)]
		if random.IntN(50) == 0 {
			tokens = []int{25_000, 54_600}[random.IntN(2)]
		}
		request, b := fmt.Sprint("r", n), balancers[n%len(balancers)]
		spec := balance.CallSpec{Engine: true, Request: request, Parts: []balance.Part{{ID: request, Tokens: tokens}}}
		if random.IntN(5) > 0 {
			spec.Prefer = replayPlan(now, b, owners, random.IntN(planners), exchange, all, spec)
		}
		call := b.Pick(all, spec)
		e := &engines[index[call.Endpoint.ID]]
		first := e.begin(now, call, float64(tokens))
		if !counted {
			continue
		}
		total++
		e.placed++
		r.Slow += oneIf(e.slowness > 1)
		r.OverSlots += oneIf(len(e.streams) > replaySlots)
		r.Late += oneIf(first.Sub(now) > replayLate)
	}
	r.Slow, r.OverSlots, r.Late, r.Paused = r.Slow/total, r.OverSlots/total, r.Late/total, r.Paused/total
	r.countPlaced(engines)
	return r
}

// replayPlan lets a planner choose an engine. Without exchange, the plan is that of an earlier
// version.
func replayPlan(now time.Time, b *balance.Balancer, owners []*pipeline.Planner, owner int, exchange bool, all []fleet.Endpoint, spec balance.CallSpec) string {
	plan := pipeline.Plan{Request: spec.Request, Due: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}
	for _, o := range b.Options(all, spec, 8) {
		reader := pipeline.Reader{Endpoint: o.Endpoint.ID, CostMs: o.Cost.Milliseconds(), ReadingMs: o.Reading.Milliseconds()}
		if exchange {
			reader.Slots, reader.Slowness = o.Endpoint.Slots, o.Slowness
		}
		plan.Readers = append(plan.Readers, reader)
	}
	if exchange {
		owners[owner].Observe(b.Observations(fmt.Sprint(owner)), nil)
		defer func() { b.LearnEngines(owners[owner].Engines(plan.Readers)) }()
	}
	return owners[owner].Run(context.Background(), pipeline.Part{Of: 1}, plan).Reader
}

// countPlaced sets the figures of the streams per engine.
func (r *replayResult) countPlaced(engines []replayEngine) {
	var counts []int
	var sum, squares float64
	for _, e := range engines {
		counts = append(counts, e.placed)
		load := float64(e.placed) * e.slowness
		sum, squares = sum+load, squares+load*load
	}
	slices.Sort(counts)
	mean := sum / float64(len(engines))
	r.Spread = squares/float64(len(engines))/mean/mean - 1
	r.Fewest, r.Median, r.Most = counts[0], counts[len(counts)/2], counts[len(counts)-1]
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

var _ = Describe("placement of streams on engines of two speeds with interference", func() {
	DescribeTable("places fewer streams beyond the slots of an engine, and loads engines more evenly, than by the costs of each instance alone",
		func(planners int) {
			before, after := replayEngines(false, planners), replayEngines(true, planners)
			fmt.Fprintf(GinkgoWriter, "without exchange %+v\nwith exchange %+v\n", before, after)
			Expect(after.Spread).To(BeNumerically("<", before.Spread*0.7))
			Expect(after.OverSlots).To(BeNumerically("<", before.OverSlots/2))
			Expect(after.Late).To(BeNumerically("<", 0.04))
			Expect(after.Paused).To(BeNumerically("<", 0.4), "random placement gives 0.41")
			Expect(after.Slow).To(BeNumerically("<", 0.2), "a third went to the slow quarter of the engines when speeds were not known")
		},
		Entry("by one planner", 1),
		Entry("by two planners", 2),
	)
})
