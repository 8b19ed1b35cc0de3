package test

import (
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("an accepted configuration", func() {
	var s *system
	var a1, a2, a3, b1 *instance

	BeforeEach(func() {
		s = newSystem(100*time.Millisecond, "a", "b")
		a1, a2, a3, b1 = s.start("a-1", "a"), s.start("a-2", "a"), s.start("a-3", "a"), s.start("b-1", "b")
		s.configure()
	})

	It("is in force everywhere within seconds", func() {
		resp, err := b1.apply("c1", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		for _, i := range s.order {
			Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
		}
	})

	It("is accepted once though it is sent to two instances with one id", func() {
		first, err := a1.apply("same", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		again, err := b1.apply("same", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Revision).To(Equal(first.Revision))
		Expect(again.Repeated).To(BeTrue())
	})

	It("spreads though any one instance dies right after acceptance", func() {
		resp, err := a1.apply("c1", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		a1.kill()
		for _, i := range []*instance{a2, a3, b1} {
			Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
		}
	})

	It("spreads though the watchers freeze", func() {
		for _, frozen := range []*instance{a2, a3} {
			frozen.signal(syscall.SIGSTOP)
			DeferCleanup(frozen.signal, syscall.SIGCONT)
		}
		resp, err := b1.apply("c1", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		Eventually(a1.revision, soon).Should(Equal(resp.Revision))
		a2.signal(syscall.SIGCONT)
		a3.signal(syscall.SIGCONT)
		for _, i := range []*instance{a2, a3} {
			Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
		}
	})

	It("spreads by peers when the key-value service fails right after acceptance", func() {
		for _, i := range []*instance{a1, a2, a3} {
			i.platform.setCut(true)
		}
		resp, err := b1.apply("c1", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		for _, i := range s.order {
			Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
		}
	})

	It("is served on through an outage of the service, and changes are refused truly", func() {
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		_, err := a1.apply("c1", organisation("pasto", 2))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable), "%v", err)
		s.serving()
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{})
		Eventually(func() error {
			_, err := a2.apply("c2", organisation("rafina", 1))
			return err
		}, soon).Should(Succeed())
		Eventually(a1.revision, soon).Should(Equal(uint64(2)), "c1 never came into force")
	})

	It("is got from peers by an instance that starts while the service is out", func() {
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		fresh := s.start("a-4", "a")
		Eventually(fresh.ready, soon).Should(BeTrue())
		Expect(fresh.revision()).To(Equal(a1.revision()))
		Eventually(func() string { return fresh.outcome("bulletin", api.Call{}) }, soon).Should(Equal("answered"))
	})

	It("does not go back when an old head is put in its place", func() {
		old := s.site.KeyValue.Value("cobaltcroft/config/head")
		resp, err := a1.apply("c1", organisation("pasto", 2))
		Expect(err).NotTo(HaveOccurred())
		for _, i := range s.order {
			Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
		}
		s.site.KeyValue.Restore("cobaltcroft/config/head", old)
		for _, i := range s.order {
			Consistently(i.revision, time.Second, 100*time.Millisecond).Should(Equal(resp.Revision), i.name)
		}
		next, err := b1.apply("c2", organisation("rafina", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Revision).To(Equal(resp.Revision + 1))
		for _, i := range s.order {
			Eventually(i.revision, soon).Should(Equal(next.Revision), i.name)
		}
	})
})

var _ = Describe("an instance that starts alone while the service is out", func() {
	It("is not ready, says not run, and serves once the service is back", func() {
		s := newSystem(0, "a")
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{Outage: true})
		alone := s.start("a-1", "a")
		Consistently(alone.ready, 500*time.Millisecond).Should(BeFalse())
		Expect(alone.outcome("bulletin", api.Call{})).To(Equal("not_run"))
		s.site.KeyValue.SetFaults(standin.KeyValueFaults{})
		s.configure()
	})
})

var _ = Describe("a failure domain that is cut off", func() {
	var s *system
	var a1, a2, b1, b2 *instance

	cutB := func(peers, platform bool) {
		for _, i := range []*instance{b1, b2} {
			i.platform.setCut(platform)
			i.list.setCut(platform)
		}
		// Instances of b reach each other through the links too, so only the way
		// between the domains is cut by their being unreachable from a.
		for _, i := range []*instance{a1, a2} {
			i.peers.setCut(peers)
		}
		b1.peers.setCut(peers)
		b2.peers.setCut(peers)
	}

	BeforeEach(func() {
		s = newSystem(100*time.Millisecond, "a", "b")
		a1, a2, b1, b2 = s.start("a-1", "a"), s.start("a-2", "a"), s.start("b-1", "b"), s.start("b-2", "b")
		s.configure()
	})

	DescribeTable("goes on serving and catches up when it heals",
		func(peers, platform bool) {
			cutB(peers, platform)
			resp, err := a1.apply("meanwhile", organisation("pasto", 2))
			Expect(err).NotTo(HaveOccurred())
			for range 5 {
				Expect(b1.outcome("bulletin", api.Call{})).To(Equal("answered"))
				Expect(b2.outcome("bulletin", api.Call{})).To(Equal("answered"))
			}
			if platform {
				_, err := b1.apply("in the cut", organisation("rafina", 2))
				Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable), "%v", err)
			}
			if peers && platform {
				Expect(b1.revision()).To(BeNumerically("<", resp.Revision))
			}
			cutB(false, false)
			for _, i := range s.order {
				Eventually(i.revision, soon).Should(Equal(resp.Revision), i.name)
			}
			Eventually(b1.peerStates, soon).Should(SatisfyAll(HaveLen(4), HaveEach("live")))
		},
		Entry("from its peers", true, false),
		Entry("from the platform", false, true),
		Entry("from both", true, true),
	)
})
