package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
)

func TestRatelimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

// fleet simulates instances of one failure domain that exchange their demands once per second.
type fleet struct {
	clock       *clockwork.FakeClock
	splitters   []*ratelimit.Splitter
	partitioned bool
}

func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	for range n {
		f.splitters = append(f.splitters, ratelimit.NewSplitter(f.clock))
	}
	return f
}

const limit = 100.0

// admitted offers requests at the given rate per instance and returns the admitted requests per
// second.
func (f *fleet) admitted(seconds int, perSecond ...float64) float64 {
	const steps = 1000
	count := 0
	owed := make([]float64, len(perSecond))
	for range seconds {
		for range steps {
			f.clock.Advance(time.Second / steps)
			for i := range f.splitters {
				for owed[i] += perSecond[i] / steps; owed[i] >= 1; owed[i]-- {
					count += f.offer(i)
				}
			}
		}
		f.exchange()
	}
	return float64(count) / float64(seconds)
}

func (f *fleet) offer(i int) int {
	if f.splitters[i].Allow("huila", limit, ratelimit.InstanceCounts{Domain: len(f.splitters), All: len(f.splitters)}) {
		return 1
	}
	return 0
}

func (f *fleet) exchange() {
	if f.partitioned {
		return
	}
	for i, from := range f.splitters {
		demands := from.Demands()
		for j, to := range f.splitters {
			if i != j {
				to.SetPeerDemands(fmt.Sprint(i), demands)
			}
		}
	}
}

var _ = Describe("a rate limit across instances", func() {
	DescribeTable("is almost fully used and not exceeded for any distribution of demand",
		func(least, most float64, perSecond ...float64) {
			f := newFleet(len(perSecond))
			f.admitted(6, perSecond...)
			got := f.admitted(10, perSecond...)
			AddReportEntry("admitted per second", got)
			Expect(got).To(BeNumerically(">=", least))
			Expect(got).To(BeNumerically("<=", most))
		},
		Entry("evenly", 95.0, 102.0, 60.0, 60.0, 60.0, 60.0),
		Entry("double at one instance", 93.0, 102.0, 120.0, 60.0, 60.0, 60.0),
		Entry("all at one instance", 90.0, 102.0, 300.0, 0.0, 0.0, 0.0),
		Entry("all at one of seven instances", 90.0, 102.0, 300.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
	)

	It("follows demand that moves between instances", func() {
		f := newFleet(4)
		f.admitted(6, 300, 0, 0, 0)
		f.admitted(4, 0, 300, 0, 0)
		Expect(f.admitted(6, 0, 300, 0, 0)).To(BeNumerically("~", 94, 8))
	})

	It("is not exceeded during a partition", func() {
		f := newFleet(4)
		f.admitted(6, 300, 10, 10, 10)
		f.partitioned = true
		f.admitted(6, 300, 300, 300, 300)
		got := f.admitted(10, 300, 300, 300, 300)
		AddReportEntry("admitted per second, partitioned", got)
		Expect(got).To(BeNumerically("<=", 1.05*limit))
		Expect(got).To(BeNumerically(">=", 0.95*limit))
	})

	It("is split equally while no demand is known", func() {
		s := ratelimit.NewSplitter(clockwork.NewFakeClock())
		Expect(s.Limit("huila", 100, ratelimit.InstanceCounts{Domain: 4, All: 20})).To(Equal(5.0))
	})

	It("ignores expired demand, and sends many demands in rotation", func() {
		clock := clockwork.NewFakeClock()
		s := ratelimit.NewSplitter(clock)
		s.Allow("huila", 100, ratelimit.InstanceCounts{Domain: 2, All: 2})
		s.SetPeerDemands("x", []ratelimit.Demand{{Organisation: ratelimit.Hash("huila"), PerSecond: 1000}})
		before := s.Limit("huila", 100, ratelimit.InstanceCounts{Domain: 2, All: 2})
		clock.Advance(time.Minute)
		s.Allow("huila", 100, ratelimit.InstanceCounts{Domain: 1, All: 1})
		Expect(s.Limit("huila", 100, ratelimit.InstanceCounts{Domain: 1, All: 1})).To(BeNumerically(">", before))
		for i := range 10 {
			s.Allow(fmt.Sprint(i), 100, ratelimit.InstanceCounts{Domain: 2, All: 2})
		}
		demands := map[uint32]bool{}
		for range 5 {
			for _, d := range s.Demands() {
				demands[d.Organisation] = true
			}
		}
		Expect(demands).To(HaveLen(11))
	})
})
