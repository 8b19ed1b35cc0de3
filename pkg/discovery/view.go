package discovery

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// behindGrace is how long an instance serves on by its configuration after it has heard
	// that there is a newer one. Versions must be in force two seconds after they were
	// accepted on the strictest deployment; a document of a megabyte is 0.1 MB packed, and takes
	// a tenth of a second on a link of 10 Mbit/s.
	behindGrace = time.Second
	// toldFor is how long word of a newer configuration counts after it was last told: when
	// all who have it have fallen silent, this instance is cut off and serves on. Heartbeats
	// come each second.
	toldFor = 3 * time.Second
	// never is the age of what was never confirmed.
	never = time.Duration(1 << 62)
)

// View is what an instance knows. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table    *route.Table
	Document Document
	// DocumentAt is the revision of the source as of which Document was the newest, and
	// DocumentConfirmed when that was confirmed, by the steady clock.
	DocumentAt        uint64
	DocumentConfirmed time.Time
	// Fleet has the endpoints that may be alive: those listed, and for a while after an
	// outage of the source those whose entries have lapsed.
	Fleet *fleet.Snapshot
	// listed has the endpoints that the source listed.
	listed *fleet.Snapshot
	// Confirmed is when the source last confirmed the endpoints, by the steady clock; the
	// zero time if never. It is never too late: an answer with changes may have been held up,
	// and counts as of the beginning of its watch.
	Confirmed time.Time
	// heard is when the source was last heard, directly or through others. While it is heard it
	// is not out, though what it confirmed may be older.
	heard time.Time
	// rumour is what others told of newer documents.
	rumour rumour
	// refused is the revision of the newest document that does not compile here.
	refused uint64
}

// rumour is word of a document that is newer than the one in force.
type rumour struct {
	// newest is the revision of the newest document heard of, first heard at newestAt.
	newest   uint64
	newestAt time.Time
	// since is when this instance first heard of one that it still lacks; told is when one who
	// has such a document last said so. What others have only heard of does not count there.
	since time.Time
	told  time.Time
}

// change changes the endpoints that are listed and those that are used alike; they stay one snapshot if they were.
func (v *View) change(do func(*fleet.Snapshot) *fleet.Snapshot) {
	same := v.Fleet == v.listed
	v.listed = do(v.listed)
	if same {
		v.Fleet = v.listed
		return
	}
	v.Fleet = do(v.Fleet)
}

// Evacuations are the failure domains whose endpoints get no new work. They are at least as new as
// what is known of documents.
func (v *View) Evacuations() fleet.Evacuations { return v.listed.Evacuations() }

// Rollouts are the orders to move traffic between versions, as new as evacuations are.
func (v *View) Rollouts() fleet.Rollouts { return v.listed.Rollouts() }

// Complete tells whether requests can be served: by a configuration, and knowing which failure
// domains are evacuated and which versions are not to be trusted yet.
func (v *View) Complete() bool { return v.Table != nil && v.knownOrders() > 0 }

// knownOrders is the revision of the source up to which this instance knows all evacuations and
// rollouts.
func (v *View) knownOrders() uint64 { return min(v.Evacuations().Revision, v.Rollouts().Revision) }

// ordersAt is the revision of the source up to which this instance knows all documents and all
// orders.
func (v *View) ordersAt() uint64 { return min(v.DocumentAt, v.knownOrders()) }

// Age is how long ago the source confirmed that the configuration is the newest.
func (v *View) Age(now time.Time) time.Duration { return since(v.DocumentConfirmed, now) }

// FleetAge is how long ago the source confirmed the endpoints.
func (v *View) FleetAge(now time.Time) time.Duration { return since(v.Confirmed, now) }

func since(confirmed, now time.Time) time.Duration {
	if confirmed.IsZero() {
		return never
	}
	return now.Sub(confirmed)
}

// Newest is the revision of the newest document that this instance has heard of.
func (v *View) Newest() uint64 { return max(v.Document.Revision, v.rumour.newest) }

// settled is the revision of the source up to which this instance knows all documents: any
// newer than its own was refused, or does not exist.
func (v *View) settled() uint64 { return max(v.Document.Revision, v.DocumentAt, v.refused) }

// known is the revision up to which word of documents is no news here.
func (v *View) known() uint64 { return max(v.settled(), v.rumour.newest) }

// Lacking tells whether there is a newer document than the one in force, and for how long
// that has been known.
func (v *View) Lacking(now time.Time) (time.Duration, bool) {
	if v.rumour.newest <= v.settled() {
		return 0, false
	}
	return now.Sub(v.rumour.since), true
}

// Behind tells whether requests must not be served by the configuration in force: others
// have a newer one, and have said so for long enough that it should be here.
func (v *View) Behind(now time.Time) bool {
	lacking, lacks := v.Lacking(now)
	return lacks && lacking >= behindGrace && now.Sub(v.rumour.told) < toldFor
}

// mark is what others are told of the document. Who refused a newer one does not vouch for
// its own beyond that: others may take it.
func (v *View) mark(now time.Time) Mark {
	m := Mark{Revision: v.Document.Revision, At: v.DocumentAt, Age: v.Age(now), Newest: v.Newest(), Evacuations: v.Evacuations(), Rollouts: v.Rollouts()}
	if v.refused > v.Document.Revision {
		m.At = v.Document.Revision
	}
	return m
}

// hear takes in that there is a document of a revision, told by one who has it or has only heard
// of it, and tells whether none as new was heard of before.
func (v *View) hear(revision uint64, has bool, now time.Time) bool {
	if revision <= v.settled() {
		return false
	}
	if _, lacked := v.Lacking(now); !lacked {
		v.rumour.since = now
	}
	if has {
		v.rumour.told = now
	}
	if revision <= v.rumour.newest {
		return false
	}
	v.rumour.newest, v.rumour.newestAt = revision, now
	return true
}

// caughtUp takes in that a newer document is in force: what is still lacked has been since
// the newest was heard of.
func (v *View) caughtUp(now time.Time) {
	if _, lacks := v.Lacking(now); lacks {
		v.rumour.since = v.rumour.newestAt
	}
}

// confirmDocument takes in that a mark was true at a time.
func (v *View) confirmDocument(m Mark, at time.Time) {
	if m.Revision != v.Document.Revision {
		return
	}
	v.DocumentAt = max(v.DocumentAt, m.At)
	if v.Document.Revision > 0 && at.After(v.DocumentConfirmed) {
		v.DocumentConfirmed = at
	}
}

// refuse takes in that the newest document as of a mark can't be put in force: the last good one
// stays, and was confirmed as that.
func (v *View) refuse(m Mark, at time.Time) {
	v.refused = max(v.refused, m.Revision)
	v.confirmDocument(Mark{Revision: v.Document.Revision, At: m.At}, at)
}
