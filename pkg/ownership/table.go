// Package ownership says which instance owns each part of the stage endpoints. It is a state
// machine without I/O or clock: claims that were heard are handed in.
//
// An owner keeps its part while it lives, whoever else would rank first. Each claim carries a
// term, which grows with every change of owner; of two claims the one with the greater term
// holds, and whoever held the other yields. Owning is a preference, not a right: two owners at
// once, which have not heard of each other yet, only send smaller calls.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part is one of the equal parts into which the stage endpoints are cut.
type Part struct {
	Number int `json:"number"`
	Of     int `json:"of"`
}

// Owner is one life of an instance that owns a part.
type Owner struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
}

// Claim says that an instance owns a part since a term. The zero claim is nobody's.
type Claim struct {
	Part  Part   `json:"part"`
	Term  uint64 `json:"term"`
	Owner Owner  `json:"owner"`
	// Provisional says that another owned the part, and that the claimer has not shown that it reaches
	// most failure domains: it may be cut off with a few, while the other goes on for the rest.
	Provisional bool `json:"provisional,omitempty"`
}

// Beats tells whether a claim holds against another of the same part. Claims of one term were
// made by instances that did not reach each other; all choose the same of them, and another for
// each part: by name alone one of three contacts owned three of four parts after all had started
// anew.
func (c Claim) Beats(other Claim) bool {
	return cmp.Or(
		cmp.Compare(c.Term, other.Term),
		cmp.Compare(c.certainty(), other.certainty()),
		cmp.Compare(c.weight(), other.weight()),
		cmp.Compare(c.Owner.Name, other.Owner.Name),
		cmp.Compare(c.Owner.Incarnation, other.Owner.Incarnation),
	) > 0
}

// certainty is less for a provisional claim.
func (c Claim) certainty() int {
	if c.Provisional {
		return 0
	}
	return 1
}

// weight orders claims of one part and term.
func (c Claim) weight() uint64 {
	return xxhash.Sum64String(strconv.Itoa(c.Part.Number) + "/" + c.Owner.Name)
}

// maxTermStep bounds by how much one heard claim may raise a term, so that a damaged one does
// not use the terms up.
const maxTermStep = 1 << 32

// Table is what one instance knows of the owners. Not safe for concurrent use.
type Table struct {
	self   Owner
	claims map[Part]Claim
	// displaced has, where a provisional claim holds, the greatest other one that was heard of: after a
	// cut its owner goes on.
	displaced map[Part]Claim
}

// NewTable returns a table without claims.
func NewTable(self Owner) *Table {
	return &Table{self: self, claims: map[Part]Claim{}, displaced: map[Part]Claim{}}
}

// Self is this instance.
func (t *Table) Self() Owner { return t.self }

// Holder returns the claim that holds for a part, as far as is known.
func (t *Table) Holder(part Part) (Claim, bool) {
	claim, ok := t.claims[part]
	return claim, ok
}

// Owns tells whether this instance owns a part.
func (t *Table) Owns(part Part) bool {
	return t.claims[part].Owner == t.self
}

// Displaced returns the claim that a provisional one displaced, if one is known.
func (t *Table) Displaced(part Part) (Claim, bool) {
	claim, ok := t.displaced[part]
	return claim, ok
}

// Claim makes this instance the owner of a part, in a term after all that it has heard of.
func (t *Table) Claim(part Part) Claim { return t.put(part, t.self, false) }

// ClaimProvisionally does the same with a claim that is to be confirmed, or taken back.
func (t *Table) ClaimProvisionally(part Part) Claim { return t.put(part, t.self, true) }

// Assign makes an instance the owner of a part, in a term after all that this one has heard of. What was
// provisional stays so, unless the part goes back to the owner that was displaced.
func (t *Table) Assign(part Part, owner Owner) Claim {
	provisional := t.claims[part].Provisional && t.displaced[part].Owner != owner
	return t.put(part, owner, provisional)
}

// Confirm makes the claim of this instance to a part a certain one, and tells whether it was provisional.
func (t *Table) Confirm(part Part) bool {
	claim := t.claims[part]
	if claim.Owner != t.self || !claim.Provisional {
		return false
	}
	claim.Provisional = false
	t.hold(claim)
	return true
}

func (t *Table) put(part Part, owner Owner, provisional bool) Claim {
	claim := Claim{Part: part, Term: t.claims[part].Term + 1, Owner: owner, Provisional: provisional}
	t.hold(claim)
	return claim
}

// hold has a claim hold, and keeps the one that it displaces if it is provisional.
func (t *Table) hold(claim Claim) {
	before := t.claims[claim.Part]
	switch {
	case !claim.Provisional:
		delete(t.displaced, claim.Part)
	case before.Term > 0 && !before.Provisional:
		t.displaced[claim.Part] = before
	}
	t.claims[claim.Part] = claim
}

// Change is a change of a part's owner as this instance sees it.
type Change struct {
	Before Claim
	After  Claim
}

// Hear takes claims in that others told of, and returns what they changed. A claim that does
// not hold against the known one changes nothing. Neither does a provisional one against a certain one
// whose owner this instance is, or that it stays with: after a cut the side that was cut off, whose terms
// have risen, must not have the owners of all others give up what they know (for 1.5 s after one
// cut three quarters of the endpoints stood idle, and 300 plans were refused).
func (t *Table) Hear(claims []Claim, staysWith func(owner, claimer Owner) bool) []Change {
	var changes []Change
	for _, claim := range claims {
		before := t.claims[claim.Part]
		if !valid(claim) || claim.Term-min(before.Term, claim.Term) > maxTermStep {
			continue
		}
		if !claim.Beats(before) {
			t.note(claim, before)
			continue
		}
		if t.declines(claim, before, staysWith) {
			continue
		}
		t.hold(claim)
		changes = append(changes, Change{Before: before, After: claim})
	}
	return changes
}

// declines tells whether a provisional claim does not hold here against the one before. One that names this
// instance does: it gives the part back.
func (t *Table) declines(claim, before Claim, staysWith func(owner, claimer Owner) bool) bool {
	if !claim.Provisional || claim.Owner == t.self || before.Term == 0 || before.Provisional {
		return false
	}
	return before.Owner == t.self || staysWith(before.Owner, claim.Owner)
}

// note keeps a claim that does not hold only since a provisional one has a later term.
func (t *Table) note(claim, holds Claim) {
	if !claim.Provisional && holds.Provisional && claim.Beats(t.displaced[claim.Part]) {
		t.displaced[claim.Part] = claim
	}
}

// valid tells whether a claim says something: that of an unknown part or of nobody does not.
func valid(c Claim) bool {
	return c.Term > 0 && c.Owner.Name != "" && c.Owner.PeerAddress != "" &&
		c.Part.Of >= 1 && c.Part.Number >= 0 && c.Part.Number < c.Part.Of
}

// Own returns the claims of this instance, in the order of their parts.
func (t *Table) Own() []Claim {
	var own []Claim
	for _, claim := range t.claims {
		if claim.Owner == t.self {
			own = append(own, claim)
		}
	}
	slices.SortFunc(own, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Part.Of, b.Part.Of), cmp.Compare(a.Part.Number, b.Part.Number))
	})
	return own
}
