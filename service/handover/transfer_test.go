package handover

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("the owner of a part", func() {
	var (
		clock *clockwork.FakeClock
		all   group
		whole = pipeline.Part{Of: 1}
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		all = newInstances(4, clock)
		DeferCleanup(func() { all.kill() })
		clock.Advance(joinPeriod)
	})

	// exchangeClaims exchanges claims between all instances, as heartbeats do.
	exchangeClaims := func() { all.exchangeClaims(all) }

	It("remains the owner when a higher-ranked instance comes back", func() {
		first := all.ownerOf(all[0], "r1")
		first.kill()
		second := all.ownerOf(all.others(first)[0], "r2")
		Expect(second).NotTo(Equal(first))
		back := all.restart(first)
		exchangeClaims()
		for _, i := range all.others(second) {
			Expect(all.ownerOf(i, "r3")).To(Equal(second))
		}
		Expect(back.pieces.Made()).To(BeZero())
	})

	It("is replaced when killed by an instance that continues from the reported stages", func() {
		first := all.ownerOf(all[0], "r1")
		asking := all.others(first)[0]
		done := make(chan pipeline.Outcome, 1)
		plan := pipeline.Plan{
			Request:  "r2",
			Stages:   []pipeline.Stage{{Service: "s", Pieces: 2}, {Service: "t", After: []int{0}, Pieces: 3}},
			Due:      clock.Now().Add(time.Minute),
			Deadline: clock.Now().Add(time.Minute),
		}
		go func() { done <- asking.router.Run(context.Background(), plan) }()
		Eventually(first.pieces.Waiting).Should(Equal(2))
		first.pieces.finish()
		Eventually(first.pieces.Waiting).Should(Equal(3))
		Eventually(func() int { return asking.router.progress.known() }).Should(Equal(1))
		first.kill()
		Eventually(func() []*instance { return without(all.planners(), first) }).Should(HaveLen(1))
		second := without(all.planners(), first)[0]
		Expect(second.pieces.Waiting()).To(Equal(3))
		second.pieces.finish()
		Expect(outcomeOf(done).Results).To(HaveLen(3))
		Expect(second.pieces.Made()).To(Equal(3), "the first stage does not run again")
	})

	It("rejects progress reports for stages that the plan does not have", func() {
		asking := all[0].router
		asking.progress.begin("call", &pipeline.Plan{Stages: make([]pipeline.Stage, 2)})
		Expect(asking.progress.stageCompleted("call", 2, nil)).To(MatchError(ContainSubstring("no stage 2")))
		Expect(asking.progress.stageCompleted("call", -1, nil)).To(HaveOccurred())
		Expect(asking.progress.stageCompleted("another", 7, nil)).To(Succeed())
		Expect(asking.progress.end("call")).To(Equal(make([][]batch.Result, 2)))
		Expect(asking.progress.end("call")).To(BeNil())
	})

	It("transfers a part when it leaves, and pending plans continue with their results at one planner", func() {
		first := all.ownerOf(all[0], "r1")
		asking := all.others(first)[0]
		waiting := all.run(asking, "r2")
		own := all.run(first, "r3")
		Eventually(first.pieces.Waiting).Should(Equal(4))
		first.router.Leave()
		var second *instance
		Eventually(func() int {
			for _, i := range all.others(first) {
				if i.pieces.Waiting() > 0 {
					second = i
					return i.pieces.Waiting()
				}
			}
			return 0
		}).Should(Equal(2), "one piece of each plan is left")
		Expect(first.pieces.Waiting()).To(BeZero())
		// Moved plans may arrive before the ledger.
		Eventually(second.pieces.Taken).Should(ContainElement(HaveField("Endpoints", HaveLen(1))))
		Expect(second.pieces.adopted).To(ContainElement(HaveField("Handle", "made before")))
		second.pieces.finish()
		for _, done := range []chan pipeline.Outcome{waiting, own} {
			outcome := outcomeOf(done)
			Expect(outcome.Reason).To(BeEmpty())
			Expect(outcome.Results).To(ConsistOf(HaveField("Handle", "made before"), HaveField("Handle", "made 1")))
		}
		for _, i := range all {
			Expect(all.ownerOf(i, "r4")).To(Equal(second))
		}
	})

	It("is a single instance at any time in a rolling restart", func() {
		owner := all.ownerOf(all[0], "r1")
		for range 3 {
			owner.router.Leave()
			for _, i := range all.others(owner) {
				i.setState(owner, membership.Leaving, clock.Now())
			}
			Eventually(func() bool { return owner.router.claims.owns(whole) }).Should(BeFalse())
			var requests []chan pipeline.Outcome
			for n, i := range all {
				requests = append(requests, all.run(i, fmt.Sprint("r", n)))
			}
			Eventually(func() int {
				n := 0
				for _, i := range all {
					n += i.pieces.Waiting()
				}
				return n
			}).Should(Equal(2 * len(all)))
			Expect(all.planners()).To(HaveLen(1))
			Expect(all.planners()[0]).NotTo(Equal(owner))
			owner = all.planners()[0]
			owner.pieces.finish()
			for _, done := range requests {
				Expect(outcomeOf(done).Reason).To(BeEmpty())
			}
			clock.Advance(time.Second)
		}
	})

	It("keeps the part while all instances leave, until it can transfer it to the last one to leave", func() {
		owner := all.ownerOf(all[0], "r1")
		last := all.others(owner)[2]
		owner.router.Leave()
		for n, i := range all.others(owner) {
			for _, other := range all.others(i) {
				other.setState(i, membership.Leaving, clock.Now().Add(time.Duration(n+1)*time.Second))
			}
		}
		for _, i := range all.others(owner) {
			i.setState(owner, membership.Leaving, clock.Now())
		}
		clock.Advance(3 * time.Second)
		last.router.Leave()
		Eventually(func() bool {
			owner.router.Leave()
			return owner.router.claims.owns(whole)
		}).Should(BeFalse())
		for _, i := range []*instance{owner, last} {
			Expect(all.ownerOf(i, "r2")).To(Equal(last))
		}
	})

	It("yields to a later term and sends its ledger", func() {
		first := all.ownerOf(all[0], "r1")
		second := all.others(first)[0]
		waiting := all.run(first, "r2")
		Eventually(first.pieces.Waiting).Should(Equal(2))
		// The second instance was partitioned and claimed the part in a later term.
		claim := ownership.Claim{Part: whole, Term: 9, Owner: second.self.Owner()}
		second.router.MergeClaims([]ownership.Claim{claim})
		first.router.MergeClaims(second.router.Claims())
		Eventually(second.pieces.Taken).Should(HaveLen(1))
		Eventually(second.pieces.Waiting).Should(Equal(1))
		second.pieces.finish()
		Expect(outcomeOf(waiting).Results).To(HaveLen(2))
		Expect(all.ownerOf(first, "r3")).To(Equal(second))
	})

	It("resumes planning as soon as it owns a part again, before the ledger arrives", func() {
		first := all.ownerOf(all[0], "r1")
		first.router.Leave()
		Eventually(func() bool { return first.router.claims.owns(whole) }).Should(BeFalse())
		claim, _ := first.router.claims.holder(whole)
		claim.Term++
		claim.Owner = first.self.Owner()
		for _, i := range all {
			i.router.MergeClaims([]ownership.Claim{claim})
		}
		for _, i := range all {
			Expect(all.ownerOf(i, "r2")).To(Equal(first))
			Expect(i.router.claims.owns(whole)).To(Equal(i == first))
		}
	})

	It("is not replaced while it responds, even if it rejects plans", func() {
		first := all.ownerOf(all[0], "r1")
		asking := all.others(first)[0]
		exchangeClaims()
		first.pieces.Release(0, 1)
		first.pieces.keepReleased = true
		done := all.run(asking, "r2")
		Eventually(asking.pieces.Waiting).Should(Equal(2))
		asking.pieces.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		for _, i := range all {
			Expect(i.router.claims.owns(whole)).To(Equal(i == first))
		}
	})

	It("is never an instance that is leaving itself, while another stays", func() {
		first := all.ownerOf(all[0], "r1")
		leaving := all.others(first)[0]
		leaving.router.owners.leave()
		call := api.TransferRequest{Claim: ownership.Claim{Part: whole, Term: 9, Owner: leaving.self.Owner()}}
		Expect(leaving.router.accept(call)).To(MatchError(ContainSubstring("leaving")))
		Expect(leaving.router.claims.owns(whole)).To(BeFalse())
		for range 3 {
			first.router.Leave()
		}
		Eventually(func() bool { return first.router.claims.owns(whole) }).Should(BeFalse())
		Consistently(func() bool { return leaving.router.claims.owns(whole) }).WithTimeout(50 * time.Millisecond).Should(BeFalse())
	})

	It("is not replaced by an isolated instance", func() {
		lone := all[0]
		for _, other := range all.others(lone) {
			other.kill()
			lone.router.owners.suspect(other.self.PeerAddress)
		}
		Expect(all.ownerOf(lone, "r1")).To(Equal(lone))
		Expect(lone.router.claims.owns(whole)).To(BeFalse())
	})

	It("transfers its part to a capable instance, but not to an unreachable one", func() {
		first := all.ownerOf(all[0], "r1")
		claim, _ := first.router.claims.holder(whole)
		gone, able := all.others(first)[0], all.others(first)[1]
		all.enlarge(gone)
		gone.kill()
		first.router.Tick()
		Eventually(func() bool { return first.router.owners.suspected(gone.self.PeerAddress) }).Should(BeTrue())
		still, _ := first.router.claims.holder(whole)
		Expect(still).To(Equal(claim))
		all.enlarge(able)
		waiting := all.run(first, "r2")
		Eventually(first.pieces.Waiting).Should(Equal(2))
		Eventually(func() bool {
			first.router.Tick()
			return able.router.claims.owns(whole)
		}).Should(BeTrue())
		Eventually(able.pieces.Waiting).Should(Equal(1), "it continues with the existing results")
		able.pieces.finish()
		Expect(outcomeOf(waiting).Results).To(HaveLen(2))
		able.router.Tick()
		Expect(able.router.claims.owns(whole)).To(BeTrue())
	})

	It("runs plans of the previous version, which sends no known owner", func() {
		owner := all[0]
		old := json.RawMessage(`{"call":"c","part":{"number":0,"of":1},"plan":{"request":"r","stages":[{"service":"s","bytes":1,"pieces":1}],"priority":0},"due_ms":60000,"deadline_ms":60000}`)
		done := make(chan any, 1)
		go func() {
			defer GinkgoRecover()
			answer, err := unconfiguredHandler{NewHandler(owner.router, Backends{})}.Answer(context.Background(), api.MethodRun, old)
			Expect(err).NotTo(HaveOccurred())
			done <- answer
		}()
		Eventually(owner.pieces.Waiting).Should(Equal(1))
		owner.pieces.finish()
		var answer any
		Eventually(done).Should(Receive(&answer))
		Expect(answer.(api.RunResponse).Results).To(HaveLen(1))
		Expect(owner.router.claims.owns(whole)).To(BeTrue())
	})

	It("refuses a ledger addressed to another owner and keeps its claims", func() {
		owner := all.ownerOf(all[0], "r1")
		before := owner.router.Claims()
		for _, claim := range []ownership.Claim{
			{Part: ownership.Part{Number: 3, Of: 1}, Term: 9, Owner: owner.self.Owner()},
			{Part: whole, Term: 0, Owner: all.others(owner)[0].self.Owner()},
		} {
			Expect(owner.router.accept(api.TransferRequest{Claim: claim})).To(MatchError(ContainSubstring("is not owned by this instance")))
		}
		Expect(owner.router.Claims()).To(Equal(before))
	})
})
