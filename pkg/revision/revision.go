// Package revision orders the changes of a source over all its eras.
package revision

import "strconv"

// numberBits is the size of a change's number within its era: enough for decades of writes at the rate
// that a source allows, and for 16 million eras.
const numberBits = 40

// Revision is the position of a change in the history of a source. A source that is restored from an
// older copy begins a new era and gives the numbers of the lost changes out again, so that numbers of
// different eras must not be compared. A Revision contains both: a later era is greater than any
// number of an earlier one. 0 stands for no revision.
type Revision uint64

// At returns the revision with a number in an era. Era 0 stands for a source that names none, whose
// revisions equal its numbers.
func At(era, number uint64) Revision {
	const maxEra, maxNumber = 1<<(64-numberBits) - 1, 1<<numberBits - 1
	return Revision(min(era, maxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the era, which is what the source knows the change by.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// InLaterEraThan reports whether the source was restored between a known revision and this one.
func (r Revision) InLaterEraThan(known Revision) bool { return known > 0 && r.Era() > known.Era() }

// String returns the number, after the era and a colon unless the era is 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + ":" + number
}
