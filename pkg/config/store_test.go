package config_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

var _ = Describe("accepting a change", func() {
	var (
		service *standin.KeyValue
		address string
		a, b    *client
	)

	BeforeEach(func() {
		service, address = newService()
		a, b = newClient(address), newClient(address)
	})

	weight := func(c *client, name string) uint32 {
		GinkgoHelper()
		organisation := c.replica.Current().Organisation(name)
		Expect(organisation).NotTo(BeNil())
		return organisation.Weight
	}

	refresh := func(c *client) {
		GinkgoHelper()
		_, _, err := c.store.Refresh(context.Background())
		Expect(err).NotTo(HaveOccurred())
	}

	It("is in force on the submitting instance and readable by others", func() {
		result, err := a.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(config.Result{Revision: 1}))
		refresh(b)
		Expect(weight(b, "huila")).To(Equal(uint32(4)))
		Expect(b.replica.Current().Digest()).To(Equal(a.replica.Current().Digest()))
	})

	It("returns the first result to a retry, on any instance", func() {
		_, err := a.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		_, err = a.submit("two", putOrganisation("huila", 5))
		Expect(err).NotTo(HaveOccurred())
		result, err := b.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(config.Result{Revision: 1, Repeated: true}))
		Expect(weight(b, "huila")).To(Equal(uint32(5)))
	})

	It("detects by reading back that a write with a lost response took effect", func() {
		service.SetFaults(standin.KeyValueFaults{LoseAnswers: 1})
		result, err := a.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(config.Result{Revision: 1}))
		refresh(b)
		Expect(b.replica.Current().Revision()).To(Equal(uint64(1)))
	})

	It("retries a write that was lost before it took effect", func() {
		service.SetFaults(standin.KeyValueFaults{LoseCalls: 1})
		result, err := a.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(config.Result{Revision: 1}))
		refresh(b)
		Expect(b.replica.Current().History()).To(HaveLen(1))
	})

	It("reports unknown, neither accepted nor rejected, while the outcome cannot be read", func() {
		service.SetFaults(standin.KeyValueFaults{LoseAnswers: 1000})
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer cancel()
		stop := outageAfterFirstWrite(service)
		defer stop()
		_, err := a.submitter.Submit(ctx, config.NewChange("one", "tester", time.UnixMilli(1), putOrganisation("huila", 4)))
		Expect(problem.KindOf(err)).To(Equal(problem.Unknown), "%v", err)
		stop()
		service.SetFaults(standin.KeyValueFaults{})
		result, err := b.submit("one", putOrganisation("huila", 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(config.Result{Revision: 1, Repeated: true}))
	})

	It("is not accepted, now or later, when the service is unavailable", func() {
		service.SetFaults(standin.KeyValueFaults{Outage: true})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := a.submitter.Submit(ctx, config.NewChange("one", "tester", time.UnixMilli(1), putOrganisation("huila", 4)))
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable), "%v", err)
		Expect(err).To(MatchError(ContainSubstring("nothing was changed")))
		service.SetFaults(standin.KeyValueFaults{})
		refresh(b)
		Expect(b.replica.Current().Revision()).To(BeZero())
	})

	It("accepts one of two concurrent changes and reports both versions in the conflict", func() {
		_, err := a.submit("zero", putOrganisation("huila", 1))
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i, c := range []*client{a, b} {
			wg.Go(func() {
				_, errs[i] = c.submit(fmt.Sprintf("race-%d", i), withBase(putOrganisation("huila", uint32(10+i)), 1))
			})
		}
		wg.Wait()
		Expect(errs).To(ContainElement(BeNil()))
		Expect(errs).To(ContainElement(Not(BeNil())))
		for _, err := range errs {
			if err != nil {
				Expect(problem.KindOf(err)).To(Equal(problem.Conflict))
				Expect(problem.Find(err).Faults).To(ConsistOf(SatisfyAll(ContainSubstring("yours"), ContainSubstring("in force"))))
			}
		}
	})

	It("loses no change when many are submitted concurrently without base revisions", func() {
		const changes = 40
		var wg sync.WaitGroup
		for i := range changes {
			wg.Go(func() {
				defer GinkgoRecover()
				c := []*client{a, b}[i%2]
				_, err := c.submit(fmt.Sprintf("c-%d", i), putOrganisation(fmt.Sprintf("org-%d", i), 1))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
		refresh(a)
		refresh(b)
		Expect(a.replica.Current().Len()).To(Equal(changes))
		Expect(a.replica.Current().Revision()).To(Equal(uint64(changes)))
		Expect(b.replica.Current().Digest()).To(Equal(a.replica.Current().Digest()))
	})

	It("never goes back when the service offers a lower revision", func() {
		_, err := a.submit("one", putOrganisation("huila", 1))
		Expect(err).NotTo(HaveOccurred())
		service.SetFaults(standin.KeyValueFaults{StaleReads: true})
		_, err = a.submit("two", putOrganisation("huila", 2))
		Expect(err).NotTo(HaveOccurred())
		revision, _, err := a.store.Refresh(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(uint64(1)), "the read is stale")
		Expect(weight(a, "huila")).To(Equal(uint32(2)))
		By("not accepting a change based on a stale read")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		before := service.Counts().Writes
		ended := make(chan error, 1)
		go func() {
			_, err := a.submitter.Submit(ctx, config.NewChange("lost", "tester", time.UnixMilli(1), putOrganisation("huila", 9)))
			ended <- err
		}()
		Eventually(func() int { return service.Counts().Writes - before }).Should(BeNumerically(">=", 2))
		Consistently(ended).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		// Cancelling, unlike a deadline, cannot interrupt a write and leave its outcome unknown.
		cancel()
		Eventually(ended).Should(Receive(&err))
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
		service.SetFaults(standin.KeyValueFaults{})
		old := service.Value(config.HeadKey)
		_, err = a.submit("three", putOrganisation("huila", 3))
		Expect(err).NotTo(HaveOccurred())
		service.Restore(config.HeadKey, old)
		revision, _, err = a.store.Refresh(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(uint64(2)))
		Expect(weight(a, "huila")).To(Equal(uint32(3)))
		By("writing the complete state to the restored service with the next change")
		result, err := a.submit("four", putOrganisation("pasto", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(Equal(uint64(4)))
		refresh(b)
		Expect(weight(b, "huila")).To(Equal(uint32(3)))
	})

	It("stores 15,000 organisations in chunks under the value size limit and deletes old chunks", func() {
		// The writes are large, so calls get a long timeout.
		a := newClientWithTimeout(address, time.Minute)
		for i := range 3 {
			var operations []config.Operation
			for j := range 5000 {
				operations = append(operations, putOrganisation(fmt.Sprintf("organisation-%05d", i*5000+j), uint32(1+j%7)))
			}
			_, err := a.submit(fmt.Sprintf("bulk-%d", i), operations...)
			Expect(err).NotTo(HaveOccurred())
		}
		refresh(b)
		Expect(b.replica.Current().Len()).To(Equal(15_000))
		Expect(b.replica.Current().Digest()).To(Equal(a.replica.Current().Digest()))
		chunks := service.Keys("cobaltcroft/config/chunk/")
		for i := range 520 {
			_, err := a.submit(fmt.Sprintf("small-%d", i), putOrganisation("huila", uint32(i+1)))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(service.Keys("cobaltcroft/config/chunk/")).To(BeNumerically("<=", 2*chunks+1))
		fresh := newClient(address)
		refresh(fresh)
		Expect(fresh.replica.Current().Digest()).To(Equal(a.replica.Current().Digest()))
		Expect(fresh.replica.Current().History()).To(HaveLen(int(a.replica.Current().Revision())))
	})
})

// outageAfterFirstWrite makes the service unavailable after its first write.
func outageAfterFirstWrite(service *standin.KeyValue) (stop func()) {
	done := make(chan struct{})
	var once sync.Once
	go func() {
		for service.Value(config.HeadKey) == nil {
			select {
			case <-done:
				return
			default:
				time.Sleep(100 * time.Microsecond)
			}
		}
		service.SetFaults(standin.KeyValueFaults{Outage: true})
	}()
	return func() { once.Do(func() { close(done) }) }
}

var _ = Describe("a replica", func() {
	It("never moves to a lower revision", func() {
		first, err := config.Empty().Apply(config.Change{ID: "one", Revision: 1, Operations: []config.Operation{putOrganisation("huila", 1)}})
		Expect(err).NotTo(HaveOccurred())
		second, err := first.Apply(config.Change{ID: "two", Revision: 2, Operations: []config.Operation{putOrganisation("huila", 2)}})
		Expect(err).NotTo(HaveOccurred())
		r := config.NewReplica()
		moves := 0
		r.OnAdvance(func(*config.Configuration) { moves++ })
		Expect(r.Advance(second, nil)).To(BeTrue())
		Expect(r.Advance(first, nil)).To(BeFalse())
		Expect(r.Advance(second, nil)).To(BeFalse())
		Expect(r.Current()).To(BeIdenticalTo(second))
		Expect(moves).To(Equal(1))
	})
})

var _ = Describe("an update from a peer", func() {
	It("is refused if it is corrupt or lower, and changes nothing", func() {
		_, address := newService()
		a := newClient(address)
		for i := range 3 {
			_, err := a.submit(fmt.Sprint(i), putOrganisation("huila", uint32(i+1)))
			Expect(err).NotTo(HaveOccurred())
		}
		good, err := a.replica.Since(0)
		Expect(err).NotTo(HaveOccurred())

		peer := config.NewReplica()
		corrupt := good
		corrupt.Changes = append([]config.Change(nil), good.Changes...)
		corrupt.Changes[1].Operations = []config.Operation{putOrganisation("huila", 99)}
		_, err = peer.ApplyUpdate(corrupt)
		Expect(err).To(HaveOccurred())
		gap := good
		gap.Changes = good.Changes[1:]
		_, err = peer.ApplyUpdate(gap)
		Expect(err).To(HaveOccurred())
		Expect(peer.Current().Revision()).To(BeZero())

		advanced, err := peer.ApplyUpdate(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(advanced).To(BeTrue())
		lower, err := config.NewReplica().Since(0)
		Expect(err).NotTo(HaveOccurred())
		advanced, err = peer.ApplyUpdate(lower)
		Expect(err).NotTo(HaveOccurred())
		Expect(advanced).To(BeFalse())
		Expect(peer.Current().Digest()).To(Equal(a.replica.Current().Digest()))
	})

	It("is a snapshot if the changes are no longer kept", func() {
		_, address := newService()
		a := newClient(address)
		_, err := a.submit("one", putOrganisation("huila", 1))
		Expect(err).NotTo(HaveOccurred())
		fresh := newClient(address)
		_, _, err = fresh.store.Refresh(context.Background())
		Expect(err).NotTo(HaveOccurred())
		relayed := config.NewReplica()
		update, err := fresh.replica.Since(0)
		Expect(err).NotTo(HaveOccurred())
		_, err = relayed.ApplyUpdate(update)
		Expect(err).NotTo(HaveOccurred())
		second := config.NewReplica()
		data, err := config.EncodeSnapshot(relayed.Current())
		Expect(err).NotTo(HaveOccurred())
		_, err = second.ApplyUpdate(config.Update{Revision: 1, Digest: relayed.Current().Digest(), Snapshot: data})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Current().Organisation("huila")).NotTo(BeNil())
		_, err = config.NewReplica().ApplyUpdate(config.Update{Revision: 1, Digest: relayed.Current().Digest(), Snapshot: data[:len(data)/2]})
		Expect(err).To(HaveOccurred())
	})
})
