package fleet

import (
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// knownOrders contains the orders of one kind at an instance before a listing arrives.
type knownOrders[T any] struct {
	// revision is the revision as of which they are known, or 0 if they are unknown.
	revision revision.Revision
	inForce  []T
	retained []T
}

// retain returns the orders that remain in force although a listing as of a revision lacks them: those
// lost by a source that was restored, and those retained before. An instance that knows none yet takes
// over those that the sender of the listing retains.
func (k knownOrders[T]) retain(at revision.Revision, retainedBySender []T, listed func(T) bool) []T {
	retained := k.retained
	switch {
	case k.revision == 0:
		retained = retainedBySender
	case at.InLaterEraThan(k.revision):
		retained = k.inForce
	}
	return slices.DeleteFunc(slices.Clone(retained), listed)
}
