package gateway

import (
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// Two organisations' requests compete by the organisations' priorities first; those of one, or of
// organisations that are equal, by their routes'.
func TestRankIsTheOrganisationsFirstAndThenTheRoutes(t *testing.T) {
	rank := func(organisation *int, priority int) int {
		u := &run{route: &route.Route{Priority: priority}}
		if organisation != nil {
			u.organisation = &route.Organisation{Priority: organisation}
		}
		return u.rank()
	}
	first, second := 0, 1
	order := []int{
		rank(nil, 0), rank(&first, 1), rank(&first, 2), rank(&first, 1000), rank(&second, 0), rank(&second, 1),
	}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Errorf("the ranks %v do not rise", order)
		}
	}
	if rank(nil, 1) != rank(&first, 1) {
		t.Error("an organisation of priority 0 differs from none")
	}
}
