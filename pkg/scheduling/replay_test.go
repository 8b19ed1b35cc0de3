package scheduling_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
)

// replay simulates a recorded trace in virtual time: several instances with their own pools, and
// endpoints modelled as slots with a FIFO queue.
type replay struct {
	fleet          trace.Fleet
	now            time.Time
	events         eventHeap
	sequence       int
	endpoints      map[string]*fakeEndpoint
	instances      []*fakeInstance
	results        []*fakeRequest
	spent          map[*fakeRequest]time.Duration
	baselinePolicy bool
}

type fakeEndpoint struct {
	slots, running int
	waiting        []func()
	slow           float64
	dead           bool
}

// fakeInstance holds the pools and plans of one instance.
type fakeInstance struct {
	pools map[string]*scheduling.Pool
	plans map[string]*scheduling.Plan
}

type fakeRequest struct {
	*trace.Request
	instance    *fakeInstance
	pipeline    config.Pipeline
	deadline    time.Time
	work        scheduling.Work
	admission   *scheduling.Admission
	metDeadline bool
}

func newReplay(fleet trace.Fleet, policy scheduling.Policy) *replay {
	r := &replay{fleet: fleet, now: start, endpoints: map[string]*fakeEndpoint{}, spent: map[*fakeRequest]time.Duration{}, baselinePolicy: policy != scheduling.Adaptive}
	for n, domain := range fleet.Domains {
		i := &fakeInstance{pools: map[string]*scheduling.Pool{}, plans: map[string]*scheduling.Plan{}}
		for _, s := range fleet.Services {
			pool := scheduling.NewPool(scheduling.Config{Policy: policy, FailureDomain: domain, MaxQueue: 1024}, rand.New(rand.NewPCG(uint64(n), 9)))
			var list []scheduling.Endpoint
			for e := range s.Endpoints {
				name := trace.EndpointName(s.Name, e)
				list = append(list, scheduling.Endpoint{Name: name, FailureDomain: fleet.Domains[e%len(fleet.Domains)], Incarnation: 1})
				r.endpoints[name] = &fakeEndpoint{slots: s.Concurrency, slow: 1}
			}
			pool.Update(start, s.Concurrency, list)
			pool.SetInstances(len(fleet.Domains))
			i.pools[s.Name] = pool
		}
		for _, p := range fleet.Pipelines {
			var steps []scheduling.Step
			for k, stage := range p.Stages {
				steps = append(steps, scheduling.Step{Pool: i.pools[stage.Service], Inputs: p.Inputs(k)})
			}
			i.plans[p.Name] = scheduling.NewPlan(steps)
		}
		r.instances = append(r.instances, i)
	}
	return r
}

func (r *replay) run(t *trace.Trace) {
	for n, e := range t.Entries {
		r.at(start.Add(e.At()), func() { r.entry(n, e) })
	}
	for tick := time.Duration(0); tick < 4*time.Second; tick += 20 * time.Millisecond {
		r.at(start.Add(tick), r.tick)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

func (r *replay) tick() {
	for _, i := range r.instances {
		for _, p := range i.pools {
			p.Tick(r.now)
		}
	}
}

func (r *replay) entry(n int, e trace.Entry) {
	if e.StateChange != nil {
		for _, name := range e.StateChange.Endpoints {
			r.endpoints[name].dead = e.StateChange.State.Dead
			r.endpoints[name].slow = max(1, e.StateChange.State.Faults.Slow)
		}
		return
	}
	q := &fakeRequest{Request: e.Request, instance: r.instances[n%len(r.instances)]}
	safetyFactor := scheduling.AttainmentSafetyFactor
	for _, p := range r.fleet.Pipelines {
		if p.Name == e.Request.Pipeline {
			q.pipeline = p
			q.deadline = r.now.Add(p.Deadline())
			if p.Objective == config.Cost {
				safetyFactor = scheduling.CostSafetyFactor
			}
		}
	}
	q.work = scheduling.Work{Organisation: e.Request.Organisation, Weight: 1, Deadline: q.deadline}
	for _, o := range r.fleet.Organisations {
		if o.Name == e.Request.Organisation {
			q.work.Weight = float64(o.Weight)
		}
	}
	r.results = append(r.results, q)
	admission, refusal := q.instance.plans[q.pipeline.Name].Admit(r.now, q.work, safetyFactor)
	if refusal == nil {
		q.admission = admission
		r.stage(q, 0, nil)
	}
}

// stage acquires an endpoint for stage k.
func (r *replay) stage(q *fakeRequest, k int, tried []string) {
	if k == len(q.pipeline.Stages) {
		q.metDeadline = !r.now.After(q.deadline)
		q.admission.Close()
		return
	}
	work := q.work
	work.Exclude = tried
	work.Deadline = q.instance.plans[q.pipeline.Name].StageDeadline(r.now, k, q.deadline)
	v := q.instance.pools[q.pipeline.Stages[k].Service].Acquire(r.now, work)
	if v.Waiter != nil {
		r.poll(q, k, tried, v.Waiter)
		return
	}
	r.acquired(q, k, tried, v)
}

// poll checks every millisecond whether the waiter has a result.
func (r *replay) poll(q *fakeRequest, k int, tried []string, w *scheduling.Waiter) {
	select {
	case v := <-w.Done:
		r.acquired(q, k, tried, v)
	default:
		r.at(r.now.Add(time.Millisecond), func() { r.poll(q, k, tried, w) })
	}
}

func (r *replay) acquired(q *fakeRequest, k int, tried []string, v scheduling.AcquireResult) {
	pool := q.instance.pools[q.pipeline.Stages[k].Service]
	if v.Refusal != nil {
		q.admission.Close()
		return
	}
	e := r.endpoints[v.Grant.Endpoint.Name]
	tried = append(tried, v.Grant.Endpoint.Name)
	if e.dead {
		pool.Finish(r.now, v.Grant, scheduling.Unreachable, nil)
		if r.baselinePolicy && len(tried) > 1 {
			q.admission.Close()
			return
		}
		r.stage(q, k, tried)
		return
	}
	begin := func() {
		took := time.Duration(q.WorkMs[q.pipeline.Stages[k].Name] * e.slow * float64(time.Millisecond))
		elapsed := min(took, max(0, q.deadline.Sub(r.now)))
		r.at(r.now.Add(elapsed), func() { r.finish(q, k, v.Grant, e, elapsed, elapsed < took) })
	}
	if e.running < e.slots {
		e.running++
		begin()
		return
	}
	e.waiting = append(e.waiting, begin)
}

func (r *replay) finish(q *fakeRequest, k int, g *scheduling.Grant, e *fakeEndpoint, took time.Duration, aborted bool) {
	r.spent[q] += took
	e.running--
	if len(e.waiting) > 0 {
		e.running++
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
	result := scheduling.Success
	if aborted {
		result = scheduling.Abandoned
	}
	q.instance.pools[q.pipeline.Stages[k].Service].Finish(r.now, g, result, &scheduling.Report{Running: e.running, Waiting: len(e.waiting)})
	if aborted {
		q.admission.Close()
		return
	}
	q.admission.StageDone(k)
	r.stage(q, k+1, nil)
}

// negligibleWaste is the wasted fraction of work below which the comparison with the baselines
// does not apply.
const negligibleWaste = 0.02

func replayed(fleet trace.Fleet, policy scheduling.Policy, t *trace.Trace) outcome {
	r := newReplay(fleet, policy)
	r.run(t)
	return r.outcome()
}

// outcome holds the fractions that the replay is checked for.
type outcome struct{ attainment, wasted, others float64 }

func (r *replay) outcome() outcome {
	answered, others, othersAnswered := 0, 0, 0
	var spent, wasted time.Duration
	for _, q := range r.results {
		spent += r.spent[q]
		if q.metDeadline {
			answered++
		} else {
			wasted += r.spent[q]
		}
		if q.Organisation != r.fleet.Organisations[0].Name {
			others++
			if q.metDeadline {
				othersAnswered++
			}
		}
	}
	return outcome{
		attainment: float64(answered) / float64(len(r.results)),
		wasted:     float64(wasted) / float64(spent),
		others:     float64(othersAnswered) / float64(others),
	}
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

func (r *replay) at(at time.Time, do func()) {
	r.sequence++
	heap.Push(&r.events, event{at, r.sequence, do})
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var _ = Describe("replay of the recorded traces", func() {
	for _, fleet := range trace.Fleets() {
		for _, name := range trace.Names() {
			It(fmt.Sprintf("%s %s reaches the expected outcome", fleet.Name, name), func() {
				file, err := os.Open(filepath.Join("..", "..", "_fixtures", "traces", fleet.Name+"-"+name+".jsonl"))
				Expect(err).NotTo(HaveOccurred())
				defer file.Close()
				t, err := trace.Read(file)
				Expect(err).NotTo(HaveOccurred())
				got := replayed(fleet, scheduling.Adaptive, t)
				AddReportEntry("adaptive", fmt.Sprintf("%+v", got))
				best := outcome{wasted: 1}
				for _, policy := range []scheduling.Policy{scheduling.Random, scheduling.RoundRobin, scheduling.LeastInFlight, scheduling.StrictLocal} {
					baseline := replayed(fleet, policy, t)
					AddReportEntry(string(policy), fmt.Sprintf("%+v", baseline))
					best.attainment = max(best.attainment, baseline.attainment)
					best.wasted = min(best.wasted, baseline.wasted)
				}
				expected := t.Header.Expected
				Expect(got.attainment).To(BeNumerically(">=", expected.MinAttainment))
				Expect(got.attainment).To(BeNumerically(">=", best.attainment+expected.MinMargin))
				Expect(got.wasted).To(BeNumerically("<=", max(expected.MaxWasteRatio*best.wasted, negligibleWaste)))
				Expect(got.others).To(BeNumerically(">=", expected.MinOthersAttainment))
			})
		}
	}
})
