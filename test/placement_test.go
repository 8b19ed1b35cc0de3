package test

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("placement", func() {
	model := standin.Held{Name: "review", Version: "3"}
	var s *system
	var a1, a2 *instance

	placed := func(replicas uint32) *pb.Object {
		return &pb.Object{Value: &pb.Object_Placement{Placement: &pb.Placement{Name: "review", Service: "engine", Model: "review", Version: "3", Replicas: replicas}}}
	}
	holders := func() int {
		n := 0
		for i := 1; i <= 2; i++ {
			if s.endpoint("engine", "a", i).Holds(model) {
				n++
			}
		}
		return n
	}

	BeforeEach(func() {
		s = newSystem(0, "a")
		for i := 1; i <= 2; i++ {
			s.endpoint("engine", "a", i).SetModels(true, i == 1)
		}
		a1, a2 = s.start("a-1", "a"), s.start("a-2", "a")
		Eventually(a1.ready, soon).Should(BeTrue())
		_, err := a1.apply("initial", configuration()...)
		Expect(err).NotTo(HaveOccurred())
		pipeline := &pb.Pipeline{Name: "review", Objective: pb.Objective_OBJECTIVE_COST, DeadlineMs: 5000, Stages: []*pb.Stage{{Name: "generate", Kind: pb.StageKind_STAGE_KIND_GENERATION, Service: "engine", Model: "review", Version: "3"}}}
		_, err = a1.apply("review", &pb.Object{Value: &pb.Object_Pipeline{Pipeline: pipeline}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(a2.revision, soon).Should(Equal(uint64(2)))
	})

	It("brings models onto endpoints, those that check tokens and those that do not, and takes them away", func() {
		Eventually(func() string { return a2.outcome("review", api.Call{}) }, soon).Should(Equal("not_run"))
		_, err := a2.apply("placed", placed(2))
		Expect(err).NotTo(HaveOccurred())
		Eventually(holders, 2*soon).Should(Equal(2))
		Eventually(func() string { return a1.outcome("review", api.Call{}) }, soon).Should(Equal("answered"))
		_, err = a2.apply("fewer", placed(1))
		Expect(err).NotTo(HaveOccurred())
		Eventually(holders, 2*soon).Should(Equal(1))
		Expect(a1.outcome("review", api.Call{})).To(Equal("answered"))
	})

	It("goes on with another holder when the holder freezes, whose late orders do no harm", func() {
		_, err := a1.apply("placed", placed(1))
		Expect(err).NotTo(HaveOccurred())
		Eventually(holders, 2*soon).Should(Equal(1))
		holder, other := a1, a2
		if s.site.KeyValue.Value("cobaltcroft/placement/a") == nil {
			Fail("no instance holds the lease")
		}
		if string(s.site.KeyValue.Value("cobaltcroft/placement/a"))[:len(`{"holder":"a-2"`)] == `{"holder":"a-2"` {
			holder, other = a2, a1
		}
		holder.signal(syscall.SIGSTOP)
		_, err = other.apply("more", placed(2))
		Expect(err).NotTo(HaveOccurred())
		Eventually(holders, 3*soon).Should(Equal(2))
		holder.signal(syscall.SIGCONT)
		Eventually(holder.revision, soon).Should(Equal(uint64(4)))
		Consistently(holders, time.Second).Should(Equal(2))
		for i := 1; i <= 2; i++ {
			last := int64(0)
			for _, o := range s.endpoint("engine", "a", i).Orders() {
				Expect(o.Token).To(BeNumerically(">=", last), "no order of the old holder after one of the new")
				last = o.Token
			}
		}
	})
})
