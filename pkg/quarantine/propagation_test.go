package quarantine_test

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// fleet simulates instances that exchange crashes as their group does: each new crash goes to all
// instances at once, and each heartbeat goes to the instances of the same failure domain and two
// others. Some messages are lost.
type fleet struct {
	clock  *clockwork.FakeClock
	random *rand.Rand
	tables []*quarantine.Table
	loss   float64
}

const (
	domains   = 6
	step      = 100 * time.Millisecond
	heartbeat = time.Second
	// crashDelay is the time from the start of a request until its instance has detected the crash.
	crashDelay = 2 * step
	// propagationBound is how long all instances may take to learn of the third crash.
	propagationBound = 3 * time.Second
)

func newFleet(instances int, loss float64, seed uint64) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, seed)), loss: loss}
	for range instances {
		f.tables = append(f.tables, newTable(f.clock))
	}
	return f
}

func (f *fleet) send(crashes []quarantine.Crash, to int) {
	if f.random.Float64() >= f.loss {
		f.tables[to].Merge(crashes)
	}
}

func (f *fleet) broadcast(from int) {
	crashes := f.tables[from].Recent(32)
	for to := range f.tables {
		f.send(crashes, to)
	}
}

// heartbeatRound sends the heartbeats that are due; each instance sends one per period.
func (f *fleet) heartbeatRound(n int) {
	turns := int(heartbeat / step)
	for from := range f.tables {
		if from%turns != n%turns {
			continue
		}
		crashes := f.tables[from].Recent(4)
		for to := range f.tables {
			if to%domains == from%domains {
				f.send(crashes, to)
			}
		}
		for range 2 {
			f.send(crashes, f.random.IntN(len(f.tables)))
		}
	}
}

// crash crashes many endpoints, each with a different harmless request.
func (f *fleet) crash(endpoints int) {
	for n := range endpoints {
		at := f.random.IntN(len(f.tables))
		f.tables[at].RecordCrash(digest(1000+n), incarnation(1000+n))
		f.broadcast(at)
	}
}

// inFlight is an attempt in progress.
type inFlight struct {
	instance int
	due      time.Time
}

// run sends one attempt per step. It returns the times of the crashes, and the number of attempts
// sent later than propagationBound after the third.
func (f *fleet) run(attempts int) (crashes []time.Time, late int) {
	var flights []inFlight
	for n := range attempts {
		now := f.clock.Now()
		for len(flights) > 0 && !flights[0].due.After(now) {
			at := flights[0].instance
			f.tables[at].RecordCrash(digest(1), incarnation(len(crashes)))
			f.broadcast(at)
			crashes = append(crashes, now)
			flights = flights[1:]
		}
		if at := f.random.IntN(len(f.tables)); !f.tables[at].IsQuarantined(digest(1)) {
			flights = append(flights, inFlight{at, now.Add(crashDelay)})
			if len(crashes) >= 3 && now.Sub(crashes[2]) > propagationBound {
				late++
			}
		}
		f.heartbeatRound(n)
		f.clock.Advance(step)
	}
	return crashes, late
}

var _ = Describe("a large fleet that receives a crashing request ten times a second at random instances", func() {
	DescribeTable("limits the number of crashes",
		func(instances int, loss float64, seeds int) {
			for seed := range seeds {
				f := newFleet(instances, loss, uint64(seed))
				f.crash(100)
				crashes, late := f.run(100)
				Expect(late).To(BeNumerically("<=", 3), "seed %d", seed)
				Expect(len(crashes)).To(BeNumerically("<=", 12), "seed %d", seed)
				for at, t := range f.tables {
					Expect(t.Count()).To(Equal(1), "instance %d, seed %d", at, seed)
				}
			}
		},
		Entry("6 instances, no message loss", 6, 0.0, 10),
		Entry("60 instances, 10% message loss", 60, 0.1, 5),
		Entry("300 instances, 33% message loss", 300, 0.33, 2),
	)
})
