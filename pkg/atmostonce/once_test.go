package atmostonce_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra/etcdkv"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

func TestAtMostOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "atmostonce")
}

const secret = "a shared secret"

// network forwards requests between gates by instance name.
type network struct {
	gates       map[string]*atmostonce.Gate
	partitioned atomic.Bool
}

func (n *network) Forward(ctx context.Context, holder atmostonce.Holder, r request.Request) (request.Result, error) {
	gate := n.gates[holder.Instance]
	if gate == nil || n.partitioned.Load() {
		return request.Result{}, problem.New(problem.Unavailable, "", "cut")
	}
	return gate.HandleForwarded(ctx, holder, r), nil
}

var _ = Describe("at most once", func() {
	var (
		service *standin.KeyValue
		address string
		net     *network
		clock   *clockwork.FakeClock
		runs    atomic.Int32
		outcome request.Outcome
		hold    chan struct{}
		a, b    *atmostonce.Gate
	)

	newGate := func(name string, incarnation uint64) *atmostonce.Gate {
		client := etcdkv.New(address, 200*time.Millisecond)
		DeferCleanup(client.Close)
		self := atmostonce.Holder{Instance: name, Incarnation: incarnation, PeerAddress: name}
		gate := &atmostonce.Gate{
			Table:   atmostonce.NewTable(clock),
			Claims:  atmostonce.NewClaims(client, clock, time.Hour, self),
			Forward: net,
			Self:    self,
			Secret:  secret,
			Clock:   clock,
			Run: func(_ context.Context, r request.Request) request.Result {
				runs.Add(1)
				if hold != nil {
					<-hold
				}
				return request.Result{RequestID: r.ID, Outcome: outcome, Instance: name}
			},
		}
		net.gates[name] = gate
		return gate
	}

	BeforeEach(func() {
		service = standin.NewKeyValue()
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		address = server.URL
		net = &network{gates: map[string]*atmostonce.Gate{}}
		clock = clockwork.NewFakeClockAt(time.Now())
		runs.Store(0)
		outcome = request.Answered
		hold = nil
		a, b = newGate("a", 1), newGate("b", 1)
	})

	renewal := func() request.Request {
		return request.Request{ID: "r1", Organisation: "gym", Pipeline: "renewal", Input: []byte(`{}`), Deadline: time.Now().Add(5 * time.Second)}
	}

	do := func(g *atmostonce.Gate, r request.Request) request.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return g.Do(ctx, r)
	}

	It("runs a request once that is sent repeatedly to both instances", func() {
		for _, g := range []*atmostonce.Gate{a, a, b, b} {
			Expect(do(g, renewal())).To(SatisfyAll(HaveField("Outcome", request.Answered), HaveField("Instance", "a")))
		}
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("runs a request once that is sent concurrently to both instances", func() {
		hold = make(chan struct{})
		var wg sync.WaitGroup
		results := make([]request.Result, 10)
		for i := range results {
			wg.Go(func() { results[i] = do([]*atmostonce.Gate{a, b}[i%2], renewal()) })
		}
		Eventually(runs.Load).Should(Equal(int32(1)))
		close(hold)
		wg.Wait()
		Expect(runs.Load()).To(Equal(int32(1)))
		for _, r := range results {
			Expect(r).To(Equal(results[0]))
		}
	})

	It("returns unknown and runs nothing when the holder is unreachable", func() {
		do(a, renewal())
		net.partitioned.Store(true)
		Expect(do(b, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("returns unknown and runs nothing when the holder was replaced by a new incarnation", func() {
		do(a, renewal())
		replaced := newGate("a", 2)
		Expect(do(replaced, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(do(b, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("returns unknown and runs nothing after the result has expired", func() {
		do(a, renewal())
		clock.Advance(2 * atmostonce.Retention)
		Expect(do(a, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("never returns not run for a request that ran on an unreachable instance", func() {
		Expect(do(a, renewal()).Outcome).To(Equal(request.Answered))
		service.SetFaults(standin.KeyValueFaults{Outage: true})
		Expect(do(b, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("runs nothing during an outage of the service, and can run later", func() {
		service.SetFaults(standin.KeyValueFaults{Outage: true})
		result := do(a, renewal())
		Expect(result.Outcome).To(Equal(request.Unknown))
		Expect(result.Problem).To(SatisfyAll(HaveField("Kind", problem.Unavailable), HaveField("Message", ContainSubstring("nothing of this copy ran"))))
		Expect(runs.Load()).To(BeZero())
		service.SetFaults(standin.KeyValueFaults{})
		Expect(do(b, renewal()).Outcome).To(Equal(request.Answered))
		Expect(do(a, renewal()).Outcome).To(Equal(request.Answered))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	DescribeTable("reads back a claim whose response was lost",
		func(faults standin.KeyValueFaults) {
			do(a, request.Request{ID: "first", Organisation: "gym", Deadline: time.Now().Add(time.Second)})
			runs.Store(0)
			service.SetFaults(faults)
			Expect(do(a, renewal()).Outcome).To(Equal(request.Answered))
			Expect(do(b, renewal())).To(HaveField("Instance", "a"))
			Expect(runs.Load()).To(Equal(int32(1)))
		},
		Entry("after the write", standin.KeyValueFaults{LoseAnswers: 1}),
		Entry("before the write", standin.KeyValueFaults{LoseCalls: 1}),
	)

	It("allows another attempt if nothing ran", func() {
		outcome = request.NotRun
		Expect(do(a, renewal()).Outcome).To(Equal(request.NotRun))
		outcome = request.Answered
		Expect(do(b, renewal())).To(SatisfyAll(HaveField("Outcome", request.Answered), HaveField("Instance", "a")))
	})

	It("does not run a request again whose outcome is unknown", func() {
		outcome = request.Unknown
		Expect(do(a, renewal()).Outcome).To(Equal(request.Unknown))
		outcome = request.Answered
		Expect(do(a, renewal()).Outcome).To(Equal(request.Unknown))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	It("does not run a different request with a used id, and does not return not run", func() {
		do(a, renewal())
		other := renewal()
		other.Input = []byte(`{"member": 8}`)
		Expect(do(a, other)).To(SatisfyAll(HaveField("Outcome", request.Unknown), HaveField("Problem.Kind", problem.Invalid)))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	Context("with a ticket", func() {
		ticketed := func() request.Request {
			r := renewal()
			r.Ticket = a.IssueTicket(atmostonce.Key{Organisation: r.Organisation, ID: r.ID})
			return r
		}

		It("runs once on the issuing instance during an outage of the service", func() {
			service.SetFaults(standin.KeyValueFaults{Outage: true})
			r := ticketed()
			for _, g := range []*atmostonce.Gate{b, a, b, a} {
				Expect(do(g, r)).To(SatisfyAll(HaveField("Outcome", request.Answered), HaveField("Instance", "a")))
			}
			Expect(runs.Load()).To(Equal(int32(1)))
		})

		It("returns unknown on other instances if the issuer is unreachable or was replaced", func() {
			r := ticketed()
			net.partitioned.Store(true)
			Expect(do(b, r).Outcome).To(Equal(request.Unknown))
			net.partitioned.Store(false)
			Expect(do(newGate("a", 2), r).Outcome).To(Equal(request.Unknown))
			Expect(runs.Load()).To(BeZero())
		})

		It("is refused if forged, issued for a different request, or expired", func() {
			r := ticketed()
			r.ID = "r2"
			Expect(do(a, r)).To(SatisfyAll(HaveField("Outcome", request.NotRun), HaveField("Problem.Kind", problem.Invalid)))
			forged := renewal()
			forged.Ticket = atmostonce.Ticket{Organisation: "gym", ID: "r1", Holder: b.Self, UntilMs: clock.Now().Add(time.Hour).UnixMilli()}.Sign("another secret")
			Expect(do(b, forged)).To(SatisfyAll(HaveField("Outcome", request.NotRun), HaveField("Problem.Kind", problem.Invalid)))
			late := ticketed()
			clock.Advance(atmostonce.TicketLife + time.Second)
			Expect(do(a, late).Outcome).To(Equal(request.Unknown))
			Expect(runs.Load()).To(BeZero())
		})
	})
})
