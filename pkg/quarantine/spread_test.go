package quarantine_test

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// fleet is many instances that tell each other of ends as their group does: at once to all, and with each
// usual heartbeat to those of their failure domain and two others. Some of what they tell is lost.
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
	// runs is how long a request runs until its endpoint has ended and its instance has found out.
	runs = 2 * step
	// spreadWithin is how long the news of the third end may take.
	spreadWithin = 3 * time.Second
)

func newFleet(instances int, loss float64, seed uint64) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, seed)), loss: loss}
	for range instances {
		f.tables = append(f.tables, newTable(f.clock))
	}
	return f
}

func (f *fleet) send(ends []quarantine.End, to int) {
	if f.random.Float64() >= f.loss {
		f.tables[to].Hear(ends)
	}
}

func (f *fleet) tellAll(from int) {
	ends := f.tables[from].Tell(32)
	for to := range f.tables {
		f.send(ends, to)
	}
}

// beat has the instances send whose turn it is: each once in a heartbeat.
func (f *fleet) beat(n int) {
	turns := int(heartbeat / step)
	for from := range f.tables {
		if from%turns != n%turns {
			continue
		}
		ends := f.tables[from].Tell(4)
		for to := range f.tables {
			if to%domains == from%domains {
				f.send(ends, to)
			}
		}
		for range 2 {
			f.send(ends, f.random.IntN(len(f.tables)))
		}
	}
}

// crash has many endpoints end, each under a proper request of some instance.
func (f *fleet) crash(endpoints int) {
	for n := range endpoints {
		at := f.random.IntN(len(f.tables))
		f.tables[at].Note(digest(1000+n), life(1000+n))
		f.tellAll(at)
	}
}

// flight is a try under way.
type flight struct {
	instance int
	due      time.Time
}

// play has tries come, one in each step, and returns when endpoints ended and how many tries were sent
// later than spreadWithin after the third did.
func (f *fleet) play(tries int) (ends []time.Time, late int) {
	var flights []flight
	for n := range tries {
		now := f.clock.Now()
		for len(flights) > 0 && !flights[0].due.After(now) {
			at := flights[0].instance
			f.tables[at].Note(digest(1), life(len(ends)))
			f.tellAll(at)
			ends = append(ends, now)
			flights = flights[1:]
		}
		if at := f.random.IntN(len(f.tables)); !f.tables[at].Holds(digest(1)) {
			flights = append(flights, flight{at, now.Add(runs)})
			if len(ends) >= 3 && now.Sub(ends[2]) > spreadWithin {
				late++
			}
		}
		f.beat(n)
		f.clock.Advance(step)
	}
	return ends, late
}

var _ = Describe("a large fleet that is sent such a request ten times a second, anywhere", func() {
	DescribeTable("has it end no more endpoints than it may",
		func(instances int, loss float64, seeds int) {
			for seed := range seeds {
				f := newFleet(instances, loss, uint64(seed))
				f.crash(100)
				ends, late := f.play(100)
				Expect(late).To(BeNumerically("<=", 3), "seed %d", seed)
				Expect(len(ends)).To(BeNumerically("<=", 12), "seed %d", seed)
				for at, t := range f.tables {
					Expect(t.Held()).To(Equal(1), "instance %d, seed %d", at, seed)
				}
			}
		},
		Entry("of 6 instances, nothing is lost", 6, 0.0, 10),
		Entry("of 60 instances, a tenth of what they tell is lost", 60, 0.1, 5),
		Entry("of 300 instances, a third of what they tell is lost", 300, 0.33, 2),
	)
})
