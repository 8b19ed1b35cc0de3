package test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/cobaltcroft/cobaltcroft/service/api"
)

var _ = Describe("an evacuated failure domain", func() {
	var s *system
	var a1, b1 *instance

	BeforeEach(func() {
		s = newSystem(0, "a", "b")
		a1, b1 = s.start("a-1", "a"), s.start("b-1", "b")
		s.configure()
	})

	// arrives counts the calls that come to a failure domain's endpoints while both instances send
	// requests, which are all answered.
	arrives := func(domain string) int {
		GinkgoHelper()
		count := func() int {
			n := 0
			for name, e := range s.site.Endpoints {
				if strings.Contains(name, "-"+domain+"-") {
					n += e.Calls()
				}
			}
			return n
		}
		before := count()
		for range 5 {
			for _, i := range []*instance{a1, b1} {
				Expect(i.outcome("bulletin", api.Call{})).To(Equal("answered"))
			}
		}
		return count() - before
	}

	It("gets no new work from any instance until it is restored, and is listed with who knows it", func() {
		Expect(arrives("a")).NotTo(BeZero())
		Expect(a1.tool("domain", "evacuate", "a", "--reason", "power", "--wait")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("in force on all 2 live instances")))
		Expect(arrives("a")).To(BeZero())
		Expect(b1.tool("domain", "list")).To(SatisfyAll(gexec.Exit(0), gbytes.Say("a +evacuated .*power"), gbytes.Say("b +in use")))
		Expect(b1.tool("domain", "evacuate", "a")).To(gexec.Exit(0), "twice is the same")
		By("an instance that starts while it is in force")
		a1.kill()
		a1.run()
		Eventually(a1.ready, soon).Should(BeTrue())
		s.serving()
		Expect(arrives("a")).To(BeZero())
		Expect(b1.tool("domain", "restore", "a", "--wait")).To(gexec.Exit(0))
		Expect(arrives("a")).NotTo(BeZero())
		Expect(b1.tool("domain", "list", "--output", "json")).To(SatisfyAll(gexec.Exit(0), Not(gbytes.Say("evacuation"))))
	})

	It("refuses requests as not run when all are evacuated, and an order that names none", func() {
		Expect(a1.tool("domain", "evacuate", "a", "--wait")).To(gexec.Exit(0))
		Expect(a1.tool("domain", "evacuate", "b", "--wait")).To(gexec.Exit(0))
		Expect(a1.outcome("bulletin", api.Call{})).To(Equal("not_run"))
		Expect(a1.tool("domain", "evacuate", "no domain!")).To(gexec.Exit(3))
		Expect(a1.tool("domain", "restore", "b", "--wait")).To(gexec.Exit(0))
		s.serving()
	})
})
