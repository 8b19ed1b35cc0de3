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

// recorder writes what happens to it into a shared log.
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

	register := func(name string, fail error, needs ...string) *recorder {
		r := &recorder{name: name, log: &log, fail: fail, die: make(chan error, 1)}
		Expect(k.Register(name, r, needs...)).To(Succeed())
		return r
	}

	It("starts services after those they need, and stops them in reverse", func() {
		register("a", nil, "b", "c")
		register("b", nil, "c")
		register("c", nil)
		Expect(k.Start()).To(Succeed())
		k.Stop()
		Expect(log).To(Equal([]string{"start c", "start b", "start a", "stop a", "stop b", "stop c"}))
	})

	It("stops what it has started when one fails", func() {
		register("a", nil)
		register("b", errors.New("no luck"), "a")
		Expect(k.Start()).To(MatchError(ContainSubstring(`"b" did not start: no luck`)))
		Expect(log).To(Equal([]string{"start a", "start b", "stop a"}))
	})

	It("refuses cycles, gaps and doubles", func() {
		register("a", nil, "b")
		Expect(k.Start()).To(MatchError(ContainSubstring(`needs "b", which is not registered`)))
		register("b", nil, "a")
		Expect(k.Start()).To(MatchError(ContainSubstring("need each other")))
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

	It("tells of a service that dies by itself", func() {
		r := register("a", nil)
		Expect(k.Start()).To(Succeed())
		r.die <- errors.New("out of luck")
		Eventually(k.Died()).Should(Receive(MatchError(ContainSubstring(`"a" died: out of luck`))))
		k.Stop()
	})
})
