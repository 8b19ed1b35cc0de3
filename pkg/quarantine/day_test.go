package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

const (
	dayStep   = 50 * time.Millisecond
	dayLength = 25 * time.Second
	// settledAfter is when the requests with fatal parts begin.
	settledAfter = 5 * time.Second
	// runsBefore is how long a request with a fatal part runs until its endpoint crashes.
	runsBefore = 100 * time.Millisecond
	// harmlessRun is how long a request runs until no crash is blamed on it.
	harmlessRun = 300 * time.Millisecond
	// engineRestart is how long a crashed engine is away.
	engineRestart = 3 * time.Second
	// broadcastEnds and heartbeatEnds are the crashes of each kind in a message.
	broadcastEnds = 32
	heartbeatEnds = 4
	// dayDomains is the number of failure domains of the engines.
	dayDomains = 3
	// usersThreshold and lateAllowed are the users' terms: after the fifth crash under a part, no more than
	// three requests with it, sent more than propagationBound later.
	usersThreshold = 5
	lateAllowed    = 3
)

// dayRequest is a request on an engine.
type dayRequest struct {
	subject  quarantine.Subject
	instance int
	// fatal is the fatal part of the prompt; empty if there is none.
	fatal       string
	begins, end time.Time
}

// dayEngine is an engine with the requests that it runs.
type dayEngine struct {
	incarnation int
	upAt        time.Time
	requests    []*dayRequest
}

// day simulates a fleet under proper requests and some with fatal parts, beside crashes of other causes,
// lost messages and instances that start anew.
type day struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	instances []*quarantine.Manager
	pending   []bool
	engines   []*dayEngine
	fatals    []string
	requests  int
	crashes   map[string][]time.Time

	// late is the number of requests with each fatal part that were sent too late.
	late map[string]int
	// proper and properRefused count the proper requests since the fifth crash.
	proper, properRefused int
}

func newDay(seed uint64, fatals int) *day {
	d := &day{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 68)), crashes: map[string][]time.Time{}, late: map[string]int{}}
	for n := range fatals {
		d.fatals = append(d.fatals, fmt.Sprint("fatal", n))
	}
	for n := range 6 {
		d.instances = append(d.instances, nil)
		d.pending = append(d.pending, false)
		d.startInstance(n)
	}
	for n := range 18 {
		d.engines = append(d.engines, &dayEngine{incarnation: n})
	}
	return d
}

func (d *day) startInstance(n int) {
	d.instances[n] = newManager(d.clock, func() { d.pending[n] = true })
}

// promptOf returns the shared parts of a prompt: one that all share, one of forty topics of which some are
// seldom, and the fatal part at any place, if there is one.
func (d *day) promptOf(fatal string) []string {
	topic := int(40 * d.random.Float64() * d.random.Float64() * d.random.Float64())
	prompt := []string{"system", fmt.Sprint("topic", topic)}
	if fatal == "" {
		return prompt
	}
	at := d.random.IntN(len(prompt) + 1)
	return append(prompt[:at:at], append([]string{fatal}, prompt[at:]...)...)
}

func (d *day) arrive(fatal string) {
	d.requests++
	now := d.clock.Now()
	r := &dayRequest{subject: subject(1_000_000+d.requests, d.promptOf(fatal)...), instance: d.random.IntN(len(d.instances)), fatal: fatal}
	r.begins = now.Add(time.Duration(d.random.IntN(500)) * time.Millisecond)
	r.end = r.begins.Add(time.Duration(300+d.random.IntN(1500)) * time.Millisecond)
	_, refused := d.instances[r.instance].Refused(r.subject)
	d.count(fatal, refused)
	if refused {
		return
	}
	if e := d.choose(r); e != nil {
		e.requests = append(e.requests, r)
	}
}

func (d *day) count(fatal string, refused bool) {
	if fatal == "" {
		d.proper++
		if refused {
			d.properRefused++
		}
		return
	}
	crashes := d.crashes[fatal]
	if !refused && len(crashes) >= usersThreshold && d.clock.Since(crashes[usersThreshold-1]) > propagationBound {
		d.late[fatal]++
	}
}

// choose returns an engine for a request: for suspects the one with the fewest requests of the instance.
func (d *day) choose(r *dayRequest) *dayEngine {
	_, suspect := d.instances[r.instance].Suspected(r.subject)
	var best *dayEngine
	fewest := 0
	for _, n := range d.random.Perm(len(d.engines)) {
		e := d.engines[n]
		if e.upAt.After(d.clock.Now()) {
			continue
		}
		if !suspect {
			return e
		}
		own := 0
		for _, other := range e.requests {
			if other.instance == r.instance {
				own++
			}
		}
		if best == nil || own < fewest {
			best, fewest = e, own
		}
	}
	return best
}

// crashEngine ends an engine and all its requests.
func (d *day) crashEngine(e *dayEngine) {
	now := d.clock.Now()
	for _, r := range e.requests {
		if now.Sub(r.begins) < harmlessRun {
			d.instances[r.instance].RecordCrash(r.subject, incarnation(e.incarnation))
		}
	}
	e.requests = nil
	e.incarnation += len(d.engines)
	e.upAt = now.Add(engineRestart)
}

// runEngines ends the requests that are done, and the engines that run fatal ones.
func (d *day) runEngines() {
	now := d.clock.Now()
	for _, e := range d.engines {
		var left []*dayRequest
		var fatal string
		for _, r := range e.requests {
			switch {
			case r.fatal != "" && now.Sub(r.begins) >= runsBefore:
				fatal = r.fatal
				left = append(left, r)
			case r.fatal == "" && !r.end.After(now):
				d.instances[r.instance].RanWell(r.subject)
			default:
				left = append(left, r)
			}
		}
		e.requests = left
		if fatal != "" {
			d.crashEngine(e)
			d.crashes[fatal] = append(d.crashes[fatal], now)
		}
	}
}

// tell sends crashes to all other instances, or for a heartbeat to a third of them.
func (d *day) tell(from, n int, heartbeat bool) {
	crashes := d.instances[from].Recent(n)
	for to := range d.instances {
		if to != from && (!heartbeat || d.random.IntN(3) == 0) {
			d.deliver(crashes, to)
		}
	}
}

// deliver passes crashes to an instance. A tenth of the messages is lost.
func (d *day) deliver(crashes []quarantine.Crash, to int) {
	if d.random.IntN(10) > 0 {
		d.instances[to].Merge(crashes)
	}
}

// restart starts an instance anew, which is greeted by the others.
func (d *day) restart(n int) {
	d.startInstance(n)
	for from := range d.instances {
		if from != n {
			d.deliver(d.instances[from].Recent(broadcastEnds), n)
		}
	}
}

func (d *day) run() {
	domainLoss := d.random.IntN(int(dayLength / dayStep))
	restart := d.random.IntN(int(dayLength / dayStep))
	for n := range int(dayLength / dayStep) {
		for range 1 + d.random.IntN(3) {
			d.arrive("")
		}
		for _, fatal := range d.fatals {
			if time.Duration(n)*dayStep >= settledAfter && d.random.IntN(5) == 0 {
				d.arrive(fatal)
			}
		}
		d.runEngines()
		if n == domainLoss {
			for i := 0; i < len(d.engines); i += dayDomains {
				d.crashEngine(d.engines[i])
			}
		}
		if n == restart {
			d.restart(d.random.IntN(len(d.instances)))
		}
		for from := range d.instances {
			if d.pending[from] {
				d.pending[from] = false
				d.tell(from, broadcastEnds, false)
			}
			if n%20 == 3*from {
				d.tell(from, heartbeatEnds, true)
			}
		}
		d.clock.Advance(dayStep)
	}
}

// daysPerSpec is the number of days that each spec plays.
func daysPerSpec() int {
	if n, err := strconv.Atoi(os.Getenv("QUARANTINE_DAYS")); err == nil {
		return n
	}
	return 30
}

var _ = Describe("days with parts that crash endpoints", func() {
	DescribeTable("send few of their requests, and refuse no proper ones",
		func(fatals int) {
			proper, refused, most := 0, 0, 0
			for seed := range daysPerSpec() {
				d := newDay(uint64(seed), fatals)
				d.run()
				for fatal, late := range d.late {
					Expect(late).To(BeNumerically("<=", lateAllowed), "part %s, seed %d", fatal, seed)
				}
				for _, crashes := range d.crashes {
					most = max(most, len(crashes))
				}
				proper += d.proper
				refused += d.properRefused
			}
			AddReportEntry("totals", fmt.Sprintf("%d days: %d of %d proper requests refused, at most %d crashes of a part", daysPerSpec(), refused, proper, most))
			Expect(refused).To(BeZero())
		},
		Entry("none of them", 0),
		Entry("one of them", 1),
		Entry("two of them", 2),
	)
})
