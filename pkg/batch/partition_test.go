package batch_test

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

var _ = Describe("a partition of the endpoints", func() {
	var (
		e *fakeEndpoints
		b *batch.Batcher
	)

	BeforeEach(func() {
		e = &fakeEndpoints{batching: route.Batching{Slots: 1, Size: 4}}
		b = batch.New(e, e, e, clockwork.NewFakeClock(), metrics.NewSet(), logging.Discard().For("batch"))
	})

	It("has endpoints of each failure domain", func() {
		var all []fleet.Endpoint
		for n := range 17 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", n), FailureDomain: fmt.Sprint("zone-", n%4)})
		}
		counts := map[string]int{}
		for part := range 2 {
			ids := batch.PartIDs(batch.Queue{Service: "s", Part: part, Parts: 2}, all)
			Expect(len(ids)).To(BeElementOf(8, 9))
			for _, id := range ids {
				for _, endpoint := range all {
					if endpoint.ID == id {
						counts[fmt.Sprint(part, endpoint.FailureDomain)]++
					}
				}
			}
		}
		Expect(counts).To(HaveLen(8))
		for _, n := range counts {
			Expect(n).To(BeElementOf(2, 3))
		}
	})

	It("has only endpoints of its region if partitioned by region, and each endpoint is in one partition", func() {
		regions := ownership.NewRegions(map[string]string{"zone-0": "north", "zone-1": "north", "zone-2": "south"})
		var all []fleet.Endpoint
		for n := range 19 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", n), FailureDomain: fmt.Sprint("zone-", n%4)})
		}
		seen := map[string]int{}
		for part := range 4 {
			q := batch.Queue{Service: "s", Part: part, Parts: 4}
			for _, id := range batch.PartIDsIn(q, all, regions) {
				seen[id]++
				for _, endpoint := range all {
					region := regions.OfDomain(endpoint.FailureDomain)
					if endpoint.ID == id && region != "" {
						Expect(region).To(Equal(regions.OfPart(ownership.Part{Number: part, Of: 4})))
					}
				}
			}
		}
		Expect(seen).To(HaveLen(len(all)))
		Expect(seen).To(HaveEach(1))
	})

	It("keeps most of its endpoints when one is removed", func() {
		var all []fleet.Endpoint
		for n := range 20 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", n)})
		}
		parts := func(ready []fleet.Endpoint) map[string]int {
			e.ready = ready
			found := map[string]int{}
			for part := range 4 {
				q := batch.Queue{Service: "s", Part: part, Parts: 4}
				n := b.Capacity(q).AtOnce / e.batching.Size
				Expect(n).To(BeNumerically("<=", 5))
				for _, id := range batch.PartIDs(q, ready) {
					found[id] = part
				}
			}
			return found
		}
		before := parts(all)
		Expect(before).To(HaveLen(20))
		after := parts(all[1:])
		moved := 0
		for id, part := range after {
			if before[id] != part {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 4))
	})

	It("receives the ledger of its endpoints when the number of partitions changes", func() {
		for n := range 12 {
			e.ready = append(e.ready, fleet.Endpoint{ID: fmt.Sprint("e", n), Service: "s"})
		}
		var ledger batch.Ledger
		for _, endpoint := range append(e.ready, fleet.Endpoint{ID: "gone"}) {
			ledger.Endpoints = append(ledger.Endpoints, batch.EndpointLedger{Queue: batch.Queue{Service: "s", Parts: 1}, Endpoint: endpoint.ID})
		}
		split := b.Split(ledger, 2)
		Expect(split).To(HaveLen(2))
		for part, share := range split {
			queue := batch.Queue{Service: "s", Part: part, Parts: 2}
			var told []string
			for _, account := range share.Endpoints {
				Expect(account.Queue).To(Equal(queue))
				told = append(told, account.Endpoint)
			}
			Expect(told).To(ConsistOf(batch.PartIDs(queue, e.ready)))
		}
	})

	It("receives freed results of its endpoints when the number of partitions changes", func() {
		for n := range 12 {
			e.ready = append(e.ready, fleet.Endpoint{ID: fmt.Sprint("e", n), Service: "s"})
		}
		results := []batch.Result{{Handle: "h", Endpoint: "e3", Queue: batch.Queue{Service: "s", Parts: 1}}, {Handle: "i", Endpoint: "gone", Queue: batch.Queue{Service: "s", Parts: 1}}}
		moved := b.Repartition(results, 4)
		Expect(batch.PartIDs(moved[0].Queue, e.ready)).To(ContainElement("e3"))
		Expect(moved[0].Queue.Parts).To(Equal(4))
		Expect(moved[1]).To(Equal(results[1]))
	})
})
