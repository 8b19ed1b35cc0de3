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
		clock.Advance(joining)
	})

	// beat has all tell each other who owns what, as heartbeats do.
	beat := func() { all.beat(all) }

	It("stays the owner when one that would rank first comes back", func() {
		first := all.ownerOf(all[0], "r1")
		first.kill()
		second := all.ownerOf(all.others(first)[0], "r2")
		Expect(second).NotTo(Equal(first))
		back := all.restart(first)
		beat()
		for _, i := range all.others(second) {
			Expect(all.ownerOf(i, "r3")).To(Equal(second))
		}
		Expect(back.pieces.Made()).To(BeZero())
	})

	It("is followed by one that goes on with the stages that it told to be made, when it is killed", func() {
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
		Expect(second.pieces.Made()).To(Equal(3), "the first stage is not made again")
	})

	It("tells of no stage that the plan does not have", func() {
		asking := all[0].router
		asking.progress.begin("call", &pipeline.Plan{Stages: make([]pipeline.Stage, 2)})
		Expect(asking.progress.stageMade("call", 2, nil)).To(MatchError(ContainSubstring("no stage 2")))
		Expect(asking.progress.stageMade("call", -1, nil)).To(HaveOccurred())
		Expect(asking.progress.stageMade("another", 7, nil)).To(Succeed())
		Expect(asking.progress.end("call")).To(Equal(make([][]batch.Result, 2)))
		Expect(asking.progress.end("call")).To(BeNil())
	})

	It("hands a part over when it leaves: one planner at a time, and what waits goes on with what was made", func() {
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
		}).Should(Equal(2), "one piece of each is missing")
		Expect(first.pieces.Waiting()).To(BeZero())
		// Plans that move may come before the ledger.
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

	It("is one at a time in a rolling restart", func() {
		owner := all.ownerOf(all[0], "r1")
		for range 3 {
			owner.router.Leave()
			for _, i := range all.others(owner) {
				i.sees(owner, membership.Leaving, clock.Now())
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

	It("goes on while all leave, and gives way to the one that left last", func() {
		owner := all.ownerOf(all[0], "r1")
		last := all.others(owner)[2]
		owner.router.Leave()
		for n, i := range all.others(owner) {
			for _, other := range all.others(i) {
				other.sees(i, membership.Leaving, clock.Now().Add(time.Duration(n+1)*time.Second))
			}
		}
		for _, i := range all.others(owner) {
			i.sees(owner, membership.Leaving, clock.Now())
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

	It("yields to a later term, and tells what it knows", func() {
		first := all.ownerOf(all[0], "r1")
		second := all.others(first)[0]
		waiting := all.run(first, "r2")
		Eventually(first.pieces.Waiting).Should(Equal(2))
		// The second one was cut off, and claimed the part two times meanwhile.
		claim := ownership.Claim{Part: whole, Term: 9, Owner: second.self.Owner()}
		second.router.HearClaims([]ownership.Claim{claim})
		first.router.HearClaims(second.router.Claims())
		Eventually(second.pieces.Taken).Should(HaveLen(1))
		Eventually(second.pieces.Waiting).Should(Equal(1))
		second.pieces.finish()
		Expect(outcomeOf(waiting).Results).To(HaveLen(2))
		Expect(all.ownerOf(first, "r3")).To(Equal(second))
	})

	It("plans at once when it hears that it owns a part again, though the ledger is still under way", func() {
		first := all.ownerOf(all[0], "r1")
		first.router.Leave()
		Eventually(func() bool { return first.router.claims.owns(whole) }).Should(BeFalse())
		claim, _ := first.router.claims.holder(whole)
		claim.Term++
		claim.Owner = first.self.Owner()
		for _, i := range all {
			i.router.HearClaims([]ownership.Claim{claim})
		}
		for _, i := range all {
			Expect(all.ownerOf(i, "r2")).To(Equal(first))
			Expect(i.router.claims.owns(whole)).To(Equal(i == first))
		}
	})

	It("is not taken over from one that answers, though it sends plans away", func() {
		first := all.ownerOf(all[0], "r1")
		asking := all.others(first)[0]
		beat()
		first.pieces.Release(0, 1)
		first.pieces.stuck = true
		done := all.run(asking, "r2")
		Eventually(asking.pieces.Waiting).Should(Equal(2))
		asking.pieces.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		for _, i := range all {
			Expect(i.router.claims.owns(whole)).To(Equal(i == first))
		}
	})

	It("does not become one that leaves itself, while another stays", func() {
		first := all.ownerOf(all[0], "r1")
		leaving := all.others(first)[0]
		leaving.router.owners.leave()
		call := api.TransferRequest{Claim: ownership.Claim{Part: whole, Term: 9, Owner: leaving.self.Owner()}}
		Expect(leaving.router.take(call)).To(MatchError(ContainSubstring("leaving")))
		Expect(leaving.router.claims.owns(whole)).To(BeFalse())
		for range 3 {
			first.router.Leave()
		}
		Eventually(func() bool { return first.router.claims.owns(whole) }).Should(BeFalse())
		Consistently(func() bool { return leaving.router.claims.owns(whole) }).WithTimeout(50 * time.Millisecond).Should(BeFalse())
	})

	It("is not claimed by an instance that reaches no other", func() {
		lone := all[0]
		for _, other := range all.others(lone) {
			other.kill()
			lone.router.owners.suspect(other.self.PeerAddress)
		}
		Expect(all.ownerOf(lone, "r1")).To(Equal(lone))
		Expect(lone.router.claims.owns(whole)).To(BeFalse())
	})

	It("hands its part to one that is able, but not to one that is not reached", func() {
		first := all.ownerOf(all[0], "r1")
		claim, _ := first.router.claims.holder(whole)
		gone, able := all.others(first)[0], all.others(first)[1]
		all.enlarge(gone)
		gone.kill()
		first.router.Look()
		Eventually(func() bool { return first.router.owners.suspected(gone.self.PeerAddress) }).Should(BeTrue())
		still, _ := first.router.claims.holder(whole)
		Expect(still).To(Equal(claim))
		all.enlarge(able)
		waiting := all.run(first, "r2")
		Eventually(first.pieces.Waiting).Should(Equal(2))
		Eventually(func() bool {
			first.router.Look()
			return able.router.claims.owns(whole)
		}).Should(BeTrue())
		Eventually(able.pieces.Waiting).Should(Equal(1), "it goes on with what was made")
		able.pieces.finish()
		Expect(outcomeOf(waiting).Results).To(HaveLen(2))
		able.router.Look()
		Expect(able.router.claims.owns(whole)).To(BeTrue())
	})

	It("makes plans of instances of the version before, which tell of no owner", func() {
		owner := all[0]
		old := json.RawMessage(`{"call":"c","part":{"number":0,"of":1},"plan":{"request":"r","stages":[{"service":"s","bytes":1,"pieces":1}],"priority":0},"due_ms":60000,"deadline_ms":60000}`)
		done := make(chan any, 1)
		go func() {
			defer GinkgoRecover()
			answer, err := answerer{NewHandler(owner.router, nil, nil, nil)}.Answer(context.Background(), api.MethodRun, old)
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

	It("refuses a part whose ledger is for another, and changes nothing", func() {
		owner := all.ownerOf(all[0], "r1")
		before := owner.router.Claims()
		for _, claim := range []ownership.Claim{
			{Part: ownership.Part{Number: 3, Of: 1}, Term: 9, Owner: owner.self.Owner()},
			{Part: whole, Term: 0, Owner: all.others(owner)[0].self.Owner()},
		} {
			Expect(owner.router.take(api.TransferRequest{Claim: claim})).To(MatchError(ContainSubstring("is not this instance's")))
		}
		Expect(owner.router.Claims()).To(Equal(before))
	})
})
