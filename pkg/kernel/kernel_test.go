package kernel_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/kernel"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

// recorder appends its lifecycle calls to a shared log.
type recorder struct {
	name string
	log  *[]string
	fail error
	die  chan error
}

func (r *recorder) Start(_ *kernel.Kernel, t *tomb.Tomb) error {
	*r.log = append(*r.log, "start "+r.name)
	if r.die != nil {
		t.Go(func() error {
			select {
			case err := <-r.die:
				return err
			case <-t.Dying():
				return nil
			}
		})
	}
	return r.fail
}

func (r *recorder) Stop() { *r.log = append(*r.log, "stop "+r.name) }

var _ = Describe("the kernel", func() {
	var k *kernel.Kernel
	var log []string

	BeforeEach(func() {
		k = kernel.New()
		log = nil
	})

	register := func(name string, fail error, deps ...string) *recorder {
		r := &recorder{name: name, log: &log, fail: fail, die: make(chan error, 1)}
		Expect(k.Register(name, r, deps...)).To(Succeed())
		return r
	}

	It("starts services in dependency order and stops them in reverse", func() {
		register("a", nil, "b", "c")
		register("b", nil, "c")
		register("c", nil)
		Expect(k.Start()).To(Succeed())
		k.Stop()
		Expect(log).To(Equal([]string{"start c", "start b", "start a", "stop a", "stop b", "stop c"}))
	})

	It("stops the started services if one fails to start", func() {
		register("a", nil)
		register("b", errors.New("start error"), "a")
		Expect(k.Start()).To(MatchError(ContainSubstring(`"b" failed to start: start error`)))
		Expect(log).To(Equal([]string{"start a", "start b", "stop a"}))
	})

	It("rejects circular, missing and duplicate services", func() {
		register("a", nil, "b")
		Expect(k.Start()).To(MatchError(ContainSubstring(`depends on "b", which is not registered`)))
		register("b", nil, "a")
		Expect(k.Start()).To(MatchError(ContainSubstring("circular dependency")))
		Expect(k.Register("a", &recorder{})).To(MatchError(ContainSubstring("twice")))
	})

	It("finds services by name and type", func() {
		r := register("a", nil)
		found, err := kernel.Lookup[*recorder](k, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeIdenticalTo(r))
		_, err = kernel.Lookup[*recorder](k, "b")
		Expect(err).To(MatchError(ContainSubstring(`no service "b"`)))
		_, err = kernel.Lookup[error](k, "a")
		Expect(err).To(MatchError(ContainSubstring("is a *kernel_test.recorder")))
	})

	It("reports a service that fails", func() {
		r := register("a", nil)
		Expect(k.Start()).To(Succeed())
		r.die <- errors.New("run error")
		Eventually(k.Died()).Should(Receive(MatchError(ContainSubstring(`"a" failed: run error`))))
		k.Stop()
	})
})
