package gateway

import (
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestStagePriorityOrdersByOrganisationThenRoute(t *testing.T) {
	rank := func(organisation *int, priority int) int {
		u := &run{route: &route.Route{Priority: priority}}
		if organisation != nil {
			u.organisation = &route.Organisation{Priority: organisation}
		}
		return u.stagePriority()
	}
	first, second := 0, 1
	order := []int{
		rank(nil, 0), rank(&first, 1), rank(&first, 2), rank(&first, 1000), rank(&second, 0), rank(&second, 1),
	}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Errorf("priorities %v are not increasing", order)
		}
	}
	if rank(nil, 1) != rank(&first, 1) {
		t.Error("an organisation with priority 0 is not ordered like none")
	}
}
