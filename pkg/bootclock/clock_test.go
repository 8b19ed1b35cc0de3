package bootclock

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBootClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bootclock")
}

// fakeMachine has clocks that are set by the test.
type fakeMachine struct {
	mu        sync.Mutex
	start     time.Time
	monotonic time.Duration
	suspended time.Duration
	adjusted  time.Duration
	noBoot    bool
}

func (m *fakeMachine) change(do func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do()
}

func (m *fakeMachine) readings() sources {
	locked := func(read func() time.Duration) time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return read()
	}
	return sources{
		now: func() time.Time { return m.start.Add(locked(func() time.Duration { return m.monotonic })) },
		wallDrift: func(time.Time, time.Time) time.Duration {
			return locked(func() time.Duration { return m.suspended + m.adjusted })
		},
		sinceBoot: func() time.Duration {
			return locked(func() time.Duration {
				if m.noBoot {
					return 0
				}
				return time.Hour + m.monotonic + m.suspended
			})
		},
	}
}

var _ = Describe("a clock that includes suspensions", func() {
	var (
		m    *fakeMachine
		told []time.Duration
	)

	clock := func() *Clock {
		told = nil
		return newClock(m.readings(), func(span time.Duration) { told = append(told, span) })
	}

	BeforeEach(func() { m = &fakeMachine{start: time.Now()} })

	It("includes a suspension in the next reading, once", func() {
		c := clock()
		begin := c.Now()
		m.change(func() { m.monotonic, m.suspended = time.Second, 5*time.Second })
		for range 3 {
			Expect(c.Since(begin)).To(Equal(6 * time.Second))
			Expect(c.Until(begin)).To(Equal(-6 * time.Second))
		}
		m.change(func() { m.suspended += 2 * time.Second })
		Expect(c.Since(begin)).To(Equal(8 * time.Second))
		Expect(told).To(Equal([]time.Duration{5 * time.Second, 2 * time.Second}))
	})

	It("detects within readInterval a suspension hidden by a wall clock adjustment", func() {
		c := clock()
		begin := c.Now()
		m.change(func() { m.suspended, m.adjusted = 5*time.Second, -5*time.Second })
		Expect(c.Since(begin)).To(BeZero())
		m.change(func() { m.monotonic = readInterval })
		Expect(c.Since(begin)).To(Equal(readInterval + 5*time.Second))
	})

	It("does not take a wall clock adjustment for a suspension", func() {
		c := clock()
		begin := c.Now()
		for _, set := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour} {
			m.change(func() { m.adjusted, m.monotonic = set, m.monotonic+time.Second })
			c.Now()
		}
		Expect(c.Since(begin)).To(Equal(3 * time.Second))
		Expect(told).To(BeEmpty())
	})

	It("uses the monotonic clock if the boot time is unavailable", func() {
		m.noBoot = true
		c := clock()
		begin := c.Now()
		m.change(func() { m.noBoot, m.monotonic, m.suspended = false, time.Second, time.Minute })
		Expect(c.Since(begin)).To(Equal(time.Second))
	})

	It("fires timers that expired during a suspension immediately, and no others", func() {
		c := clock()
		due, later, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
		c.AfterFunc(time.Minute, func() { close(due) })
		c.AfterFunc(time.Hour, func() { close(later) })
		timer := c.AfterFunc(time.Minute, func() { close(stopped) })
		Expect(timer.Stop()).To(BeTrue())
		Expect(timer.Stop()).To(BeFalse())
		m.change(func() { m.suspended = 2 * time.Minute })
		Consistently(due).WithTimeout(20 * time.Millisecond).ShouldNot(BeClosed())
		c.Now()
		Eventually(due).Should(BeClosed())
		Consistently(later).WithTimeout(20 * time.Millisecond).ShouldNot(BeClosed())
		Expect(stopped).NotTo(BeClosed())
	})

	It("has timers that fire and can be reset", func() {
		c := clock()
		fired := make(chan struct{}, 2)
		timer := c.AfterFunc(time.Millisecond, func() { fired <- struct{}{} })
		Eventually(fired).Should(Receive())
		Expect(timer.Reset(time.Millisecond)).To(BeFalse())
		Eventually(fired).Should(Receive())
		Expect(c.pending).To(BeEmpty())
	})

	It("agrees with the boot time of the host", func() {
		c := New(func(time.Duration) {})
		begin := c.Now()
		beganAt := sinceBoot()
		for range 100 {
			before := sinceBoot()
			elapsed := c.Since(begin)
			Expect(elapsed).To(BeNumerically(">=", before-beganAt-minSuspension))
			time.Sleep(time.Millisecond)
		}
	})
})

// BenchmarkNow measures a reading; BenchmarkGoNow is the baseline.
func BenchmarkNow(b *testing.B) {
	c := New(func(time.Duration) {})
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkGoNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
