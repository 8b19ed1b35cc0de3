package revision

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a change of an earlier era that counts as newer than one of a later era.
func TestALaterEraIsGreaterThanAnyNumberOfAnEarlierOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64Range(0, 1<<23).Draw(t, "era"), rapid.Uint64Range(0, 1<<39).Draw(t, "number")
		r := At(era, number)
		if r.Era() != era || r.Number() != number {
			t.Fatalf("%d:%d became %s", era, number, r)
		}
		if At(era, number+1) <= r || At(era+1, 0) <= r || At(era+1, 0) <= At(era, 1<<63) {
			t.Fatalf("%s is not below its successors", r)
		}
	})
}

func TestARevisionOfASourceWithoutErasIsItsNumber(t *testing.T) {
	text, err := json.Marshal(At(0, 44))
	if err != nil || string(text) != "44" || At(0, 44) != 44 || At(0, 44).String() != "44" || At(2, 44).String() != "2:44" {
		t.Errorf("got %s, %s and %s (%v)", text, At(0, 44), At(2, 44), err)
	}
}
