package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/decision"
)

func TestDecision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decision")
}

var start = time.Unix(1_000_000, 0)

func endpoints(n int, domain string) []decision.Endpoint {
	list := make([]decision.Endpoint, n)
	for i := range list {
		list[i] = decision.Endpoint{Name: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Incarnation: 1}
	}
	return list
}

func newPool(policy decision.Policy, concurrency int, list ...decision.Endpoint) *decision.Pool {
	p := decision.NewPool(decision.Config{Policy: policy, FailureDomain: "here", Concurrency: concurrency, MaxQueue: 8}, rand.New(rand.NewPCG(1, 2)))
	p.Update(start, concurrency, list)
	return p
}

func work(organisation string) decision.Work {
	return decision.Work{Organisation: organisation, Weight: 1, Deadline: start.Add(time.Minute)}
}

func granted(v decision.AcquireResult) *decision.Grant {
	GinkgoHelper()
	Expect(v.Grant).NotTo(BeNil(), "%+v", v)
	return v.Grant
}

func refusedFor(v decision.AcquireResult, reason decision.Reason) {
	GinkgoHelper()
	Expect(v.Refusal).NotTo(BeNil(), "%+v", v)
	Expect(v.Refusal.Reason).To(Equal(reason))
}

// finish ends a call successfully after the given time.
func finish(p *decision.Pool, g *decision.Grant, took time.Duration) {
	p.Finish(start.Add(took), g, decision.Success, nil)
}
