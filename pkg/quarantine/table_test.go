package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

func digest(n int) quarantine.Digest { return quarantine.Sum("", "", fmt.Sprint(n), nil) }

func incarnation(n int) string { return fmt.Sprint("endpoint-", n) }

func crash(request, endpoint int) quarantine.Crash {
	return quarantine.Crash{Digest: digest(request), Incarnation: incarnation(endpoint)}
}

func newTable(clock clockwork.Clock) *quarantine.Table {
	return quarantine.New(clock, logging.Discard().For("quarantine"))
}

var _ = Describe("the table of crashes", func() {
	var (
		clock *clockwork.FakeClock
		t     *quarantine.Table
	)

	const poison, harmless = 1, 2

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		t = newTable(clock)
	})

	It("quarantines only a request with three crashes", func() {
		for n := range 3 {
			Expect(t.IsQuarantined(digest(poison))).To(BeFalse())
			t.RecordCrash(digest(poison), incarnation(n))
		}
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse())
		Expect(t.Count()).To(Equal(1))
	})

	It("counts each incarnation of an endpoint once, regardless of the number of attempts and reports", func() {
		for range 4 {
			t.RecordCrash(digest(poison), incarnation(1))
			t.Merge([]quarantine.Crash{crash(poison, 1), crash(poison, 1)})
		}
		Expect(t.CrashCount(digest(poison))).To(Equal(1))
		Expect(t.IsQuarantined(digest(poison))).To(BeFalse())
	})

	It("adds up crashes seen by several instances", func() {
		t.RecordCrash(digest(poison), incarnation(1))
		t.Merge([]quarantine.Crash{crash(poison, 2)})
		t.Merge([]quarantine.Crash{crash(poison, 3)})
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
	})

	It("releases a request that has run without a crash since, and counts later crashes again", func() {
		for n := range 3 {
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		Expect(t.Clear(digest(harmless))).To(BeTrue())
		Expect(t.Clear(digest(harmless))).To(BeFalse(), "already cleared")
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse())
		Expect(t.Count()).To(BeZero())
		t.Merge([]quarantine.Crash{crash(harmless, 0), crash(harmless, 1), crash(harmless, 2)})
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse(), "reports of cleared crashes do not restore them")
		for n := 10; n < 13; n++ {
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		Expect(t.IsQuarantined(digest(harmless))).To(BeTrue())
	})

	It("does not quarantine a request that only ran beside the crashing one", func() {
		for n := range 3 {
			t.RecordCrash(digest(poison), incarnation(n))
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		t.RecordCrash(digest(poison), incarnation(3))
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse())
	})

	// With three endpoints, a harmless request that is retried may run beside the crashing one each
	// time.
	It("quarantines neither of two requests that always ran together until they differ in a crash", func() {
		for n := range 3 {
			t.RecordCrash(digest(poison), incarnation(n))
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		Expect(t.Count()).To(BeZero())
		t.RecordCrash(digest(poison), incarnation(3))
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse())
	})

	It("quarantines both after five crashes", func() {
		for n := range 5 {
			Expect(t.Count()).To(BeZero())
			t.RecordCrash(digest(poison), incarnation(n))
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
		Expect(t.IsQuarantined(digest(harmless))).To(BeTrue())
		Expect(t.Clear(digest(harmless))).To(BeTrue())
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
		Expect(t.IsQuarantined(digest(harmless))).To(BeFalse())
	})

	It("quarantines one as soon as the other has run without a crash", func() {
		for n := range 3 {
			t.RecordCrash(digest(poison), incarnation(n))
			t.RecordCrash(digest(harmless), incarnation(n))
		}
		t.Clear(digest(harmless))
		Expect(t.IsQuarantined(digest(poison))).To(BeTrue())
	})

	It("drops a crash after an hour, also if it was reported later", func() {
		other := newTable(clock)
		for n := range 3 {
			t.RecordCrash(digest(poison), incarnation(n))
		}
		clock.Advance(59 * time.Minute)
		other.Merge(t.Recent(10))
		Expect(other.IsQuarantined(digest(poison))).To(BeTrue())
		clock.Advance(time.Minute)
		t.Sweep()
		other.Sweep()
		Expect(t.IsQuarantined(digest(poison))).To(BeFalse())
		Expect(other.IsQuarantined(digest(poison))).To(BeFalse())
		Expect(other.Recent(10)).To(BeEmpty())
	})

	It("reports the newest crashes first, and eventually all that count", func() {
		for n := range 40 {
			t.Merge([]quarantine.Crash{crash(n, 2*n), crash(n, 2*n+1)})
			clock.Advance(time.Second)
		}
		reported := t.Recent(4)
		Expect(reported).To(HaveLen(4))
		Expect(reported).To(ContainElements(HaveField("Digest", digest(39)), HaveField("Age", time.Second)))
		other := newTable(clock)
		for range 1000 {
			other.Merge(t.Recent(4))
		}
		for n := range 40 {
			Expect(other.CrashCount(digest(n))).To(Equal(2))
		}
	})

	It("reports a request with several crashes before those with one", func() {
		t.RecordCrash(digest(poison), incarnation(1))
		t.RecordCrash(digest(poison), incarnation(2))
		for n := range 100 {
			clock.Advance(time.Millisecond)
			t.RecordCrash(digest(10+n), incarnation(10+n))
		}
		Expect(t.Recent(4)).To(ContainElements(HaveField("Incarnation", incarnation(1)), HaveField("Incarnation", incarnation(2))))
	})

	It("stops reporting requests with a single crash", func() {
		t.RecordCrash(digest(harmless), incarnation(1))
		Expect(t.Recent(4)).To(HaveLen(1))
		clock.Advance(30 * time.Second)
		Expect(t.Recent(4)).To(BeEmpty())
		Expect(t.CrashCount(digest(harmless))).To(Equal(1))
	})

	It("limits its size and evicts quarantined requests last", func() {
		for n := range 3 {
			t.RecordCrash(digest(-1), incarnation(n))
		}
		for n := range 10_000 {
			clock.Advance(time.Millisecond)
			t.RecordCrash(digest(n), incarnation(n))
		}
		Expect(t.IsQuarantined(digest(-1))).To(BeTrue())
		Expect(t.CrashCount(digest(0))).To(BeZero())
		Expect(t.CrashCount(digest(9_999))).To(Equal(1))
		for n := range 100 {
			t.RecordCrash(digest(-1), incarnation(n))
		}
		Expect(t.CrashCount(digest(-1))).To(Equal(8))
	})
})

// mergeDifferently returns a table that merged the crashes one by one, and one that merged them twice, in
// random order.
func mergeDifferently(r *rapid.T, crashes []quarantine.Crash) (first, second *quarantine.Table) {
	clock := clockwork.NewFakeClock()
	first, second = newTable(clock), newTable(clock)
	for _, c := range crashes {
		first.Merge([]quarantine.Crash{c})
	}
	shuffled := append(append([]quarantine.Crash{}, crashes...), crashes...)
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	second.Merge(shuffled)
	return first, second
}

// Guards against decisions that depend on the order or the repetition of reports.
var _ = Describe("tables with the same reports", func() {
	It("quarantine the same requests", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			var crashes []quarantine.Crash
			for range rapid.IntRange(1, 30).Draw(r, "ends") {
				e := crash(rapid.IntRange(0, 4).Draw(r, "request"), rapid.IntRange(0, 6).Draw(r, "endpoint"))
				e.Cleared = rapid.IntRange(0, 9).Draw(r, "cleared") == 0
				crashes = append(crashes, e)
			}
			first, second := mergeDifferently(r, crashes)
			for n := range 5 {
				if first.IsQuarantined(digest(n)) != second.IsQuarantined(digest(n)) || first.CrashCount(digest(n)) != second.CrashCount(digest(n)) {
					r.Fatalf("request %d: quarantined %v and %v", n, first.IsQuarantined(digest(n)), second.IsQuarantined(digest(n)))
				}
			}
			if first.Count() != second.Count() {
				r.Fatalf("%d and %d requests are quarantined", first.Count(), second.Count())
			}
		})
	})
})

// BenchmarkHolds measures a lookup in a table with 2,400 requests.
func BenchmarkHolds(b *testing.B) {
	t := newTable(clockwork.NewRealClock())
	for n := range 2400 {
		t.RecordCrash(digest(n), incarnation(n/10))
	}
	d := digest(1)
	b.ResetTimer()
	for range b.N {
		t.IsQuarantined(d)
	}
}

func BenchmarkSum(b *testing.B) {
	body := make([]byte, 2400)
	for range b.N {
		quarantine.Sum("organisation", "service.example", "/path/of/a/request", body)
	}
}

// BenchmarkMemory measures the size of a full table.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable(clockwork.NewRealClock())
		for request := range 4096 {
			for n := range 8 {
				t.RecordCrash(digest(request), incarnation(8*request+n))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(t)
	}
}
