package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func subjectOf(service string, parts ...string) quarantine.Subject {
	u := &run{request: &Request{URI: "/x"}, route: &route.Route{}, service: &route.Service{Name: service}}
	for _, id := range parts {
		u.request.Parts = append(u.request.Parts, balance.Part{ID: id, Tokens: 1})
	}
	return u.computeSubject()
}

// The last part belongs to the request or its session, so that no other request may be refused for it.
func TestCrashesAreBlamedOnAllPartsOfAPromptButTheLast(t *testing.T) {
	g := NewWithT(t)
	g.Expect(subjectOf("model", "a", "b", "own").Parts).To(Equal([]quarantine.Digest{quarantine.SumPart("model", "a"), quarantine.SumPart("model", "b")}))
	g.Expect(subjectOf("model", "own").Parts).To(BeEmpty())
	g.Expect(subjectOf("model").Parts).To(BeEmpty())
}

func TestAPartIsAnotherOneAtAnotherService(t *testing.T) {
	NewWithT(t).Expect(subjectOf("model", "a", "own").Parts).NotTo(Equal(subjectOf("other", "a", "own").Parts))
}

func TestAPromptOfManyPartsTakesABoundedNumberOfDigests(t *testing.T) {
	var parts []string
	for n := range 5000 {
		parts = append(parts, fmt.Sprint(n))
	}
	NewWithT(t).Expect(subjectOf("model", parts...).Parts).To(HaveLen(maxSubjectParts))
}
