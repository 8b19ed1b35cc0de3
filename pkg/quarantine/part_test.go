package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

func part(name string) quarantine.Digest { return quarantine.SumPart("service", name) }

// subject returns a request that is unlike all others with another number, with parts of a prompt.
func subject(request int, parts ...string) quarantine.Subject {
	s := quarantine.Subject{Request: digest(request)}
	for _, name := range parts {
		s.Parts = append(s.Parts, part(name))
	}
	return s
}

// newManager returns a manager that stores nothing.
func newManager(clock clockwork.Clock, broadcast func()) *quarantine.Manager {
	store := &memoryStore{crashes: map[quarantine.Crash]bool{}}
	return quarantine.NewManager(newTable(clock), store, broadcast, clock, logging.Discard().For("quarantine"))
}

var _ = Describe("parts of prompts under which endpoints crash", func() {
	var (
		clock *clockwork.FakeClock
		m     *quarantine.Manager
		next  int
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		m = newManager(clock, func() {})
		next = 0
	})

	const betweenCrashes = 200 * time.Millisecond

	// crashUnder crashes a number of endpoints, each under another request with the parts.
	crashUnder := func(n int, parts ...string) {
		for range n {
			next++
			clock.Advance(betweenCrashes)
			m.RecordCrash(subject(next, parts...), incarnation(next))
		}
	}

	refused := func(parts ...string) bool {
		next++
		_, refused := m.Refused(subject(next, parts...))
		return refused
	}

	It("quarantine all requests with a part after three crashes, and no others", func() {
		m.RanWell(subject(-1, "shared"))
		crashUnder(2, "shared", "fatal")
		Expect(refused("shared", "fatal")).To(BeFalse())
		crashUnder(1, "shared", "fatal")
		Expect(refused("shared", "fatal")).To(BeTrue())
		Expect(refused("another", "fatal")).To(BeTrue())
		Expect(refused("shared", "another")).To(BeFalse())
		Expect(m.PartCount()).To(Equal(1))
		Expect(m.Count()).To(BeZero())
	})

	It("quarantine only requests with all parts that may be the cause, until one shows which it is", func() {
		crashUnder(3, "shared", "fatal")
		Expect(refused("shared", "fatal")).To(BeTrue())
		Expect(refused("shared")).To(BeFalse())
		Expect(refused("fatal")).To(BeFalse())
		crashUnder(1, "fatal", "another")
		Expect(refused("fatal")).To(BeTrue())
		Expect(refused("shared")).To(BeFalse())
	})

	It("do not quarantine a part under which many endpoints crash at one moment", func() {
		for n := range 8 {
			m.RecordCrash(subject(n, "popular"), incarnation(n))
		}
		Expect(refused("popular")).To(BeFalse())
	})

	It("quarantine two parts that crash endpoints beside each other", func() {
		crashUnder(1, "first")
		crashUnder(2, "first", "second")
		crashUnder(2, "second")
		Expect(refused("first", "second")).To(BeTrue())
		crashUnder(2, "first")
		crashUnder(2, "second")
		Expect(refused("first")).To(BeTrue())
		Expect(refused("second")).To(BeTrue())
	})

	It("hold no part against another one that explains too few of its crashes", func() {
		crashUnder(3, "first")
		crashUnder(1, "first", "second")
		crashUnder(3, "second")
		Expect(refused("first")).To(BeTrue())
		Expect(refused("second")).To(BeTrue())
	})

	It("are told apart by a request that runs well with one of them", func() {
		crashUnder(3, "shared", "fatal")
		m.RanWell(subject(-1, "shared"))
		Expect(refused("fatal")).To(BeTrue())
		Expect(refused("shared")).To(BeFalse())
	})

	It("do not quarantine the parts of a single request that crashes endpoints by itself", func() {
		for n := range 5 {
			clock.Advance(betweenCrashes)
			m.RecordCrash(subject(-1, "document"), incarnation(n))
		}
		Expect(m.IsQuarantined(digest(-1))).To(BeTrue())
		Expect(refused("document")).To(BeFalse())
	})

	It("quarantine a part whose requests are repeated", func() {
		for n := range 5 {
			clock.Advance(betweenCrashes)
			m.RecordCrash(subject(n/2, "fatal"), incarnation(n))
		}
		Expect(refused("fatal")).To(BeTrue())
	})

	It("are excused for a minute by a good run", func() {
		m.RanWell(subject(-1, "popular"))
		clock.Advance(59*time.Second - 8*betweenCrashes)
		crashUnder(8, "popular")
		Expect(refused("popular")).To(BeFalse())
		clock.Advance(time.Second)
		crashUnder(3, "popular")
		Expect(refused("popular")).To(BeTrue(), "what ran well before may crash endpoints now")
		m.RanWell(subject(-1, "popular"))
		Expect(refused("popular")).To(BeFalse())
	})

	It("are excused by the good runs at other instances", func() {
		other := newManager(clock, func() {})
		other.RanWell(subject(-1, "popular"))
		crashUnder(3, "popular")
		Expect(refused("popular")).To(BeTrue())
		other.Merge(m.Recent(32))
		m.Merge(other.Recent(32))
		Expect(refused("popular")).To(BeFalse())
	})

	It("make room for new crashes by dropping cleared ones", func() {
		crashUnder(8, "part")
		m.RanWell(subject(-1, "part"))
		clock.Advance(30 * time.Minute)
		crashUnder(3, "part")
		Expect(refused("part")).To(BeTrue())
	})

	It("are listed for operators, who can release them", func() {
		crashUnder(3, "fatal")
		Expect(m.List()).To(HaveExactElements(And(HaveField("Kind", "part"), HaveField("Digest", part("fatal").String()))))
		m.Clear(part("fatal"))
		Expect(m.List()).To(BeEmpty())
		Expect(refused("fatal")).To(BeFalse())
	})

	It("take a bounded place, whatever clients send", func() {
		crashUnder(3, "fatal")
		for n := range 2_500 {
			clock.Advance(time.Millisecond)
			m.RecordCrash(subject(n, fmt.Sprint(n)), incarnation(n))
			m.RanWell(subject(n, fmt.Sprint("sound", n)))
		}
		Expect(refused("fatal")).To(BeTrue())
		Expect(m.CrashCount(part("0"))).To(BeZero())
		Expect(m.CrashCount(part("2499"))).To(Equal(1))
	})
})

// Guards against decisions on parts that depend on the order or the repetition of reports.
var _ = Describe("tables with the same reports of parts", func() {
	It("refuse the same requests", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			var crashes []quarantine.Crash
			for range rapid.IntRange(1, 40).Draw(r, "ends") {
				c := crash(rapid.IntRange(0, 3).Draw(r, "request"), rapid.IntRange(0, 6).Draw(r, "endpoint"))
				if rapid.Bool().Draw(r, "part") {
					c.Kind, c.Digest = quarantine.PromptPart, part(fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "name")))
				}
				c.Cleared = rapid.IntRange(0, 9).Draw(r, "cleared") == 0
				crashes = append(crashes, c)
			}
			first, second := mergeDifferently(r, crashes)
			for n := range 4 {
				for _, s := range []quarantine.Subject{subject(n), subject(-1, fmt.Sprint(n)), subject(-1, fmt.Sprint(n), fmt.Sprint((n+1)%4)), subject(n, "0", "1", "2", "3")} {
					_, a := first.Refused(s)
					_, b := second.Refused(s)
					if a != b {
						r.Fatalf("%v: refused %v and %v", s, a, b)
					}
				}
			}
			if first.PartCount() != second.PartCount() || first.Count() != second.Count() {
				r.Fatalf("%d and %d parts, %d and %d requests", first.PartCount(), second.PartCount(), first.Count(), second.Count())
			}
		})
	})
})

// BenchmarkRefused measures what each request costs in a table with 2,400 requests and 900 parts.
func BenchmarkRefused(b *testing.B) {
	m := newManager(clockwork.NewRealClock(), func() {})
	for n := range 2400 {
		m.RecordCrash(subject(n, fmt.Sprint(n%900)), incarnation(n/10))
	}
	s := subject(-1, "system", "subject", "session")
	b.ReportAllocs()
	for b.Loop() {
		m.LoadCrashes(b.Context(), s)
		m.Refused(s)
		m.Suspected(s)
		m.RanWell(s)
	}
}

func BenchmarkSumPart(b *testing.B) {
	for b.Loop() {
		quarantine.SumPart("cobalt-llm", "5c1e07a2")
	}
}
