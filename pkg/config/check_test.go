package config_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

var _ = Describe("validating a change", func() {
	engine := config.Operation{Put: &config.Object{Service: &config.Service{Name: "engine", Kind: config.Generation, Concurrency: 4}}}
	pipeline := func(p config.Pipeline) config.Operation {
		return config.Operation{Put: &config.Object{Pipeline: &p}}
	}
	good := config.Pipeline{Name: "bulletin", Objective: config.Attainment, DeadlineMs: 1000, Stages: []config.Stage{{Name: "generate", Kind: config.Generation, Service: "engine"}}}

	check := func(operations ...config.Operation) error {
		_, err := config.Empty().Check(config.Change{ID: "c", Revision: 1, Operations: operations})
		return err
	}

	It("accepts a valid change", func() {
		Expect(check(engine, pipeline(good))).To(Succeed())
	})

	It("accepts the evacuation of a failure domain, whether it is known or not, and its end", func() {
		order := config.Operation{Put: &config.Object{Evacuation: &config.Evacuation{Name: "sala-a", Reason: "power"}}}
		first, err := config.Empty().Check(config.Change{ID: "c", Revision: 1, Operations: []config.Operation{order, order}})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Evacuated()).To(HaveExactElements("sala-a"))
		end := config.Operation{Delete: &config.Key{Kind: config.KindEvacuation, Name: "sala-a"}}
		second, err := first.Check(config.Change{ID: "d", Revision: 2, Operations: []config.Operation{end}})
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Evacuated()).To(BeEmpty())
		Expect(first.Evacuated()).To(HaveLen(1))
	})

	It("refuses the evacuation of nothing, and a reason that is too long", func() {
		Expect(check(config.Operation{Put: &config.Object{Evacuation: &config.Evacuation{}}})).NotTo(Succeed())
		Expect(check(config.Operation{Put: &config.Object{Evacuation: &config.Evacuation{Name: "a", Reason: strings.Repeat("x", 300)}}})).NotTo(Succeed())
	})

	It("reports all faults", func() {
		bad := good
		bad.DeadlineMs = 0
		bad.Objective = "speed"
		bad.Stages = []config.Stage{
			{Name: "a", Kind: config.Generation, Service: "missing"},
			{Name: "a", Kind: config.Encoding, Service: "engine", After: []string{"nowhere"}},
		}
		err := check(engine, pipeline(bad), putOrganisation("huila", 0))
		Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
		Expect(problem.Find(err).Faults).To(ContainElements(
			ContainSubstring("deadline_ms 0"),
			ContainSubstring(`objective "speed"`),
			ContainSubstring(`service "missing", which does not exist`),
			ContainSubstring(`duplicate stage name "a"`),
			ContainSubstring(`after "nowhere", which does not exist`),
			ContainSubstring(`of kind "encoding", its service "engine" of kind "generation"`),
			ContainSubstring("organisation/huila: weight 0"),
		))
	})

	It("refuses a cycle", func() {
		bad := good
		bad.Stages = []config.Stage{
			{Name: "a", Kind: config.Generation, Service: "engine", After: []string{"b"}},
			{Name: "b", Kind: config.Generation, Service: "engine", After: []string{"a"}},
		}
		Expect(check(engine, pipeline(bad))).To(MatchError(ContainSubstring("cycle")))
	})

	It("refuses to delete a service in use, and what does not exist", func() {
		before, err := config.Empty().Check(config.Change{ID: "c", Revision: 1, Operations: []config.Operation{engine, pipeline(good)}})
		Expect(err).NotTo(HaveOccurred())
		remove := func(key config.Key) error {
			_, err := before.Check(config.Change{ID: "d", Revision: 2, Operations: []config.Operation{{Delete: &key}}})
			return err
		}
		Expect(remove(config.Key{Kind: config.KindService, Name: "engine"})).To(MatchError(ContainSubstring("which does not exist")))
		Expect(problem.KindOf(remove(config.Key{Kind: config.KindService, Name: "other"}))).To(Equal(problem.NotFound))
	})

	It("refuses a change without operations, and an empty operation", func() {
		Expect(check()).To(MatchError(ContainSubstring("no operations")))
		Expect(check(config.Operation{Put: &config.Object{}})).To(MatchError(ContainSubstring("empty")))
	})
})
