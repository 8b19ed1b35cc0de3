package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

// BenchmarkAcquire measures Acquire followed by Finish at the fleet sizes in docs/CAPACITY.md.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{50, 500, 5000, 12000} {
		for _, busy := range []float64{0, 0.9} {
			b.Run(fmt.Sprintf("endpoints=%d/busy=%.1f", n, busy), func(b *testing.B) {
				benchAcquire(b, n, busy)
			})
		}
	}
}

func benchAcquire(b *testing.B, n int, busy float64) {
	const concurrency = 8
	p := scheduling.NewPool(scheduling.Config{Policy: scheduling.Adaptive, FailureDomain: "here", Concurrency: concurrency, MaxQueue: 1024}, rand.New(rand.NewPCG(1, 2)))
	p.Update(start, concurrency, append(endpoints(n/11+1, "here"), endpoints(n-n/11-1, "there")...))
	w := scheduling.Work{Organisation: "a", Weight: 1, Deadline: start.Add(time.Hour)}
	for range int(float64(n*concurrency) * busy) {
		p.Acquire(start, w)
	}
	b.ReportAllocs()
	for b.Loop() {
		v := p.Acquire(start, w)
		p.Finish(start, v.Grant, scheduling.Success, nil)
	}
}

// BenchmarkAdmit measures admission of a four-stage request.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{50, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			steps := make([]scheduling.Step, 4)
			for i := range steps {
				p := scheduling.NewPool(scheduling.Config{Policy: scheduling.Adaptive, FailureDomain: "here", Concurrency: 8, MaxQueue: 1024}, rand.New(rand.NewPCG(1, 2)))
				p.Update(start, 8, endpoints(n/4, "here"))
				steps[i].Pool = p
				if i > 0 {
					steps[i].Inputs = []int{i - 1}
				}
			}
			plan := scheduling.NewPlan(steps)
			w := scheduling.Work{Organisation: "a", Weight: 1, Deadline: start.Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				a, _ := plan.Admit(start, w, scheduling.AttainmentSafetyFactor)
				a.Close()
			}
		})
	}
}

// BenchmarkEndpointMemory reports the heap usage per endpoint.
func BenchmarkEndpointMemory(b *testing.B) {
	const n = 12_000
	for b.Loop() {
		before := heapBytes()
		p := newPool(scheduling.Adaptive, 8, endpoints(n, "here")...)
		b.ReportMetric(float64(heapBytes()-before)/n, "B/endpoint")
		runtime.KeepAlive(p)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
