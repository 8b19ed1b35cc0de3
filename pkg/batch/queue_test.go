package batch

import (
	"slices"
	"testing"
	"time"
)

func TestQueueTakesWhatIsUrgentFirstAndThenWhatIsDueFirst(t *testing.T) {
	now := time.Now()
	const call = 300 * time.Millisecond
	q := &queue{}
	for _, piece := range []Piece{
		{Request: "late and urgent", Due: now, Priority: 0},
		{Request: "less urgent, soon", Due: now.Add(time.Second), Priority: 1},
		{Request: "less urgent, later", Due: now.Add(time.Minute), Priority: 1},
		{Request: "urgent, later", Due: now.Add(time.Hour), Priority: 0},
		{Request: "urgent, soon", Due: now.Add(time.Minute), Priority: 0},
	} {
		q.add(&item{piece: piece, group: newGroup(1, nil)})
	}
	q.sort(now, call)
	var order []string
	for _, i := range q.items {
		order = append(order, i.piece.Request)
	}
	want := []string{"urgent, soon", "urgent, later", "less urgent, soon", "less urgent, later", "late and urgent"}
	if !slices.Equal(order, want) {
		t.Errorf("the order is %q, not %q", order, want)
	}
}
