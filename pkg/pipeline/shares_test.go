package pipeline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSharesAllocateThroughputByPriority(t *testing.T) {
	for name, c := range map[string]struct {
		throughput float64
		rates      map[int]float64
		want       map[int]float64
	}{
		"not contended":                      {100, map[int]float64{0: 60, 2: 40}, map[int]float64{0: 1, 2: 1}},
		"unknown throughput":                 {0, map[int]float64{0: 60, 2: 40}, map[int]float64{0: 1, 2: 1}},
		"alone":                              {100, map[int]float64{11: 300}, map[int]float64{11: 1}},
		"no demand":                          {100, map[int]float64{}, map[int]float64{}},
		"less urgent get the rest":           {100, map[int]float64{0: 50, 2: 60, 10: 40}, map[int]float64{0: 1, 2: 40.0 / 60, 10: 0.25}},
		"urgent exceed it":                   {100, map[int]float64{0: 200, 12: 40}, map[int]float64{0: 0.5, 12: 0.25}},
		"few urgent, many less urgent":       {100, map[int]float64{0: 20, 12: 1000}, map[int]float64{0: 1, 12: 0.285}},
		"many urgent, many more less urgent": {100, map[int]float64{0: 80, 12: 1000}, map[int]float64{0: 0.875, 12: 0.25}},
	} {
		got := shares(c.throughput, c.rates)
		if len(got) != len(c.want) {
			t.Errorf("%s: shares %v, want %v", name, got, c.want)
		}
		for priority, want := range c.want {
			if math.Abs(got[priority]-want) > 1e-9 {
				t.Errorf("%s: share of priority %d is %v, want %v", name, priority, got[priority], want)
			}
		}
	}
}

// No demand may starve a priority, rank it behind a less urgent one, or leave less than half of the
// throughput to be allocated by priority.
func TestSharesHoldTheirBoundsForAnyDemand(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	priorities := []int{0, 1, 2, 10, 11, 12}
	for range 10000 {
		throughput := 1 + 1000*random.Float64()
		rates := map[int]float64{}
		for _, priority := range priorities {
			if random.IntN(3) > 0 {
				rates[priority] = minDemand + math.Exp(10*random.Float64()-2)
			}
		}
		got := shares(throughput, rates)
		last, admitted := 1.0, 0.0
		for _, priority := range priorities {
			if rates[priority] == 0 {
				continue
			}
			share := got[priority]
			if share < minShare-1e-9 || share > last+1e-9 {
				t.Fatalf("%v at %v: shares %v", rates, throughput, got)
			}
			admitted += (share - minShare) * rates[priority]
			last = share
		}
		if len(rates) > 1 && contended(throughput, rates) && admitted < rankedRatio*throughput-1e-6 && got[priorities[0]] < 1 && rates[0] > 0 {
			t.Fatalf("%v at %v: only %v is allocated by priority", rates, throughput, admitted)
		}
	}
}

// excluded returns how many of 1000 plans of a priority the shares of a queue exclude.
func excluded(d *demand, at time.Time, throughput float64, priority int) int {
	share, ok := shares(throughput, d.rates(at))[priority]
	if !ok {
		share = 1
	}
	n := 0
	for i := range 1000 {
		if drawn(fmt.Sprint(i)) >= share {
			n++
		}
	}
	return n
}

func TestSharesExcludeLessUrgentPlans(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d demand
	d.set(now, 2, 50)
	if excluded(&d, now, 100, 2) != 0 {
		t.Fatal("plans are excluded without contention")
	}
	d.set(now, 1, 85)
	if n := excluded(&d, now, 100, 2); n < 650 || n > 750 {
		t.Errorf("%d of 1000 less urgent plans are excluded, want about 700", n)
	}
	if excluded(&d, now, 100, 1) != 0 {
		t.Error("the most urgent plans are excluded though the throughput suffices for them")
	}
	d.set(now, 2, 200)
	if excluded(&d, now, 100, 1) > 500 {
		t.Error("the minimum share of a large less urgent demand excludes most urgent plans")
	}
	d.set(now, 0, 20)
	if excluded(&d, now, 100, 0) != 0 {
		t.Error("few more urgent plans are excluded by larger less urgent demands")
	}
	if excluded(&d, now.Add(5*time.Second), 100, 2) != 0 {
		t.Error("plans are excluded after the demand has ended")
	}
	d.rates(now.Add(time.Minute))
	if len(d.meters) != 0 {
		t.Errorf("%d meters are kept without demand", len(d.meters))
	}
}

func TestDemandFollowsRate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d demand
	at := now
	for range 500 {
		at = at.Add(10 * time.Millisecond)
		d.record(at, 0, 3)
	}
	if rate := d.rates(at)[0]; rate < 295 || rate > 305 {
		t.Errorf("rate is %v after 300 pieces a second", rate)
	}
	if rate := d.rates(at.Add(time.Second))[0]; rate < 105 || rate > 115 {
		t.Errorf("rate is %v a second after the last piece", rate)
	}
}

// Malformed priorities must not take up memory without bound.
func TestDemandBoundsMeters(t *testing.T) {
	now := time.Now()
	var d demand
	for priority := range 10 * maxMeters {
		d.record(now, priority, 1)
	}
	if len(d.meters) != maxMeters {
		t.Errorf("%d meters, want %d", len(d.meters), maxMeters)
	}
	if rate := d.rates(now)[maxMeters-1]; rate < 8*maxMeters {
		t.Errorf("demand of further priorities is not counted as the least urgent: %v", rate)
	}
}

func TestDecisionStatesCause(t *testing.T) {
	fits := forecast{total: time.Second, unhindered: time.Second}
	for name, c := range map[string]struct {
		conditions conditions
		want       refusal
		late       bool
	}{
		"fits":                              {conditions{left: 2 * time.Second, forecast: fits, share: 1, drawn: 0.99}, "", false},
		"within share":                      {conditions{left: 2 * time.Second, forecast: fits, share: 0.25, drawn: 0.24}, "", false},
		"above share":                       {conditions{left: 2 * time.Second, forecast: fits, share: 0.25, drawn: 0.25}, refusedByShare, false},
		"late":                              {conditions{left: time.Second, allowedLateness: time.Millisecond, forecast: fits, share: 1}, refusedByForecast, false},
		"late and no share":                 {conditions{left: 0, forecast: fits, share: 0.25, drawn: 0.5}, refusedByForecast, false},
		"no time of its own":                {conditions{left: 0, untilEnd: time.Second, forecast: fits, share: 0.25, drawn: 0.5}, "", true},
		"no time of its own and contended":  {conditions{left: 0, untilEnd: time.Second, forecast: fits, share: 1, contended: true}, refusedByForecast, false},
		"no time before the deadline":       {conditions{left: 0, untilEnd: time.Second - 1, forecast: fits, share: 1}, refusedByForecast, false},
		"late by a wait, not contended yet": {conditions{left: time.Second, untilEnd: time.Minute, forecast: forecast{total: 2 * time.Second, unhindered: time.Second}, share: 1}, refusedByForecast, false},
	} {
		if got := decide(c.conditions); got.refused != c.want || got.late != c.late {
			t.Errorf("%s: refused by %q, late %v; want %q, %v", name, got.refused, got.late, c.want, c.late)
		}
	}
}
