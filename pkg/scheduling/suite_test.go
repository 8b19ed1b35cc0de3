package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

func TestScheduling(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduling")
}

var start = time.Unix(1_000_000, 0)

func endpoints(n int, domain string) []scheduling.Endpoint {
	list := make([]scheduling.Endpoint, n)
	for i := range list {
		list[i] = scheduling.Endpoint{Name: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Incarnation: 1}
	}
	return list
}

func newPool(policy scheduling.Policy, concurrency int, list ...scheduling.Endpoint) *scheduling.Pool {
	p := scheduling.NewPool(scheduling.Config{Policy: policy, FailureDomain: "here", Concurrency: concurrency, MaxQueue: 8}, rand.New(rand.NewPCG(1, 2)))
	p.Update(start, concurrency, list)
	return p
}

func work(organisation string) scheduling.Work {
	return scheduling.Work{Organisation: organisation, Weight: 1, Deadline: start.Add(time.Minute)}
}

func granted(v scheduling.AcquireResult) *scheduling.Grant {
	GinkgoHelper()
	Expect(v.Grant).NotTo(BeNil(), "%+v", v)
	return v.Grant
}

func refusedFor(v scheduling.AcquireResult, reason scheduling.Reason) {
	GinkgoHelper()
	Expect(v.Refusal).NotTo(BeNil(), "%+v", v)
	Expect(v.Refusal.Reason).To(Equal(reason))
}

// finish ends a call successfully after the given time.
func finish(p *scheduling.Pool, g *scheduling.Grant, took time.Duration) {
	p.Finish(start.Add(took), g, scheduling.Success, nil)
}
