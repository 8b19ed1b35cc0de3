package overload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
)

const maxWait = 10 * time.Millisecond

// fakeWaits returns a settable mean wait.
type fakeWaits struct{ mean time.Duration }

func (w *fakeWaits) Mean() time.Duration { return w.mean }

var _ = Describe("new connections", func() {
	var (
		clock   *clockwork.FakeClock
		waits   *fakeWaits
		monitor *Monitor
	)

	build := func(limit time.Duration) {
		clock = clockwork.NewFakeClock()
		waits = &fakeWaits{}
		monitor = NewMonitor(Options{MaxWait: limit, Waits: waits, Clock: clock, Metrics: metrics.NewSet(), Log: logging.Discard().For("overload")})
	}

	BeforeEach(func() { build(maxWait) })

	// offer offers connections for some periods, and returns how many were taken.
	offer := func(periods, perPeriod int, late time.Duration) int {
		taken := 0
		for range periods {
			for range perPeriod {
				clock.Advance(measurePeriod / time.Duration(perPeriod))
				if monitor.Admit() {
					taken++
				}
			}
			monitor.measure(late)
		}
		return taken
	}

	It("are all taken while nothing waits for a processor", func() {
		Expect(offer(100, 25, 0)).To(Equal(2500))
		Expect(monitor.Limited()).To(BeFalse())
	})

	It("are limited once goroutines wait, and no longer once they don't and none is closed", func() {
		offer(20, 2, 0)
		waits.mean = 100 * time.Millisecond
		offer(longPeriods, 25, 0)
		Expect(monitor.Limited()).To(BeTrue())
		waits.mean = 0
		Expect(offer(10, 25, 0)).To(BeNumerically("<", 100))
		Expect(offer(10, 2, 0)).To(BeNumerically(">=", 18))
		offer(int(releaseAfter/measurePeriod)+1, 2, 0)
		Expect(monitor.Limited()).To(BeFalse())
	})

	It("are limited while the whole process gets no processor, by its late timers", func() {
		offer(longPeriods, 25, soleWork+maxWait)
		Expect(monitor.Limited()).To(BeTrue())
	})

	It("are limited while requests are refused for want of something of the instance", func() {
		for range longPeriods {
			monitor.ReportExhausted()
			offer(1, 25, 0)
		}
		Expect(monitor.Limited()).To(BeTrue())
		offer(judgedPeriods, 25, 0)
		before := monitor.connectionLimit()
		offer(10, 25, 0)
		Expect(monitor.connectionLimit()).To(BeNumerically(">", before))
	})

	It("are not limited for a single long wait, as after a suspension", func() {
		offer(20, 25, 0)
		Expect(offer(1, 25, 3*time.Second)).To(Equal(25))
		Expect(offer(20, 25, 0)).To(Equal(500))
	})

	It("are never all turned away", func() {
		waits.mean = time.Second
		offer(50, 25, 0)
		for range 10 {
			Expect(offer(20, 25, time.Second)).To(BeNumerically(">=", minRate))
		}
	})

	It("are not limited if the settings say so", func() {
		build(0)
		waits.mean = time.Second
		Expect(offer(50, 25, time.Second)).To(Equal(1250))
	})
})

// An instance is modelled as a queue of work that is done at a fixed rate. A goroutine waits for a tenth of the
// time that all work takes, because a request needs the processor about ten times.
var _ = Describe("a crowd in a thousand random models", func() {
	const (
		waitsPerRequest = 10
		// patience is how long clients wait.
		patience = 1500 * time.Millisecond
		settle   = 3 * time.Second
	)

	It("is served at least three times of four where it is read, from three seconds on, and some of it always", func() {
		for seed := range uint64(1000) {
			random := rand.New(rand.NewPCG(seed, 0))
			clock, waits := clockwork.NewFakeClock(), &fakeWaits{}
			monitor := NewMonitor(Options{MaxWait: maxWait, Waits: waits, Clock: clock, Metrics: metrics.NewSet(), Log: logging.Discard().For("overload")})
			// capacity is in requests per second, of which usual come before the crowd.
			capacity := math.Exp(random.Float64()*4 + 1.5)
			usual := capacity * (0.1 + 0.6*random.Float64())
			crowd := capacity * (1.2 + 8*random.Float64())
			var queued, due float64
			read, served := 0, 0
			takenAt := clock.Now()
			start := clock.Now()
			for {
				elapsed := clock.Since(start)
				if elapsed > 15*time.Second {
					break
				}
				rate := usual
				if elapsed > 5*time.Second {
					rate = crowd
				}
				due += rate * measurePeriod.Seconds()
				for ; due >= 1; due-- {
					if !monitor.Admit() {
						continue
					}
					takenAt = clock.Now()
					queued += 0.5 + random.Float64()
					if elapsed > 5*time.Second+settle {
						read++
						if queued/capacity < patience.Seconds() {
							served++
						}
					}
				}
				clock.Advance(measurePeriod)
				queued = max(0, queued-capacity*measurePeriod.Seconds())
				waits.mean = time.Duration(queued / capacity / waitsPerRequest * float64(time.Second))
				monitor.measure(0)
				Expect(clock.Since(takenAt)).To(BeNumerically("<", settle), "seed %d", seed)
			}
			Expect(float64(served)).To(BeNumerically(">=", 0.75*float64(read)), "seed %d, capacity %.0f, crowd %.0f", seed, capacity, crowd)
		}
	})
})
