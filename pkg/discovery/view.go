package discovery

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// behindGrace is how long an instance keeps serving with its configuration after it has learned
	// of a newer one. Versions have to be in force two seconds after they were accepted in the
	// strictest deployment; a document of 1 MB is 0.1 MB packed and takes 0.1 s at 10 Mbit/s.
	behindGrace = time.Second
	// announcementTTL is how long the announcement of a newer configuration is valid. Once all
	// instances that have it are silent, this instance is partitioned and keeps serving. It exceeds
	// the heartbeat interval of one second.
	announcementTTL = 3 * time.Second
	// never is the age of data that was never confirmed.
	never = time.Duration(1 << 62)
)

// View is the state known to an instance. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table    *route.Table
	Document Document
	// DocumentAt is the revision of the source as of which Document was the newest, and
	// DocumentConfirmed when that was confirmed, on the monotonic clock.
	DocumentAt        revision.Revision
	DocumentConfirmed time.Time
	// Fleet contains the endpoints that may be alive: the listed ones and, for a grace period after
	// an outage of the source, those whose entries expired.
	Fleet *fleet.Snapshot
	// listed contains the endpoints listed by the source.
	listed *fleet.Snapshot
	// withheld contains, by name, listed entries that had been removed before the source was restored
	// from a copy. They count as removed until they are written anew or the new era is settled.
	withheld map[string]fleet.Endpoint
	// Confirmed is when the source last confirmed the endpoints, on the monotonic clock, or the
	// zero time. It is a lower bound: a response with changes may have been delayed and counts from
	// the start of its watch.
	Confirmed time.Time
	// lastHeard is when the source was last heard from, directly or through other instances. While
	// it is recent the source is reachable, although Confirmed may be older.
	lastHeard time.Time
	// announced describes newer documents announced by other instances.
	announced announcement
	// rejected is the revision of the newest document that could not be put in force.
	rejected revision.Revision
	// peersAsked is set once the peers were asked what they have in force. current is set once no
	// newer document than the one in force was known after that.
	peersAsked bool
	current    bool
}

// DocumentID identifies a document. The zero value stands for none.
type DocumentID struct {
	// Version is the operator's version, or 0 if unknown.
	Version  uint64
	Revision revision.Revision
}

// newerThan reports whether a document replaces another one. Within an era the later write does. In
// different eras it is the one with the higher version, since a source that was restored from an older
// copy has an older version under a greater revision until the operator writes the newer one again.
func (d DocumentID) newerThan(other DocumentID) bool {
	if d.Revision.Era() != other.Revision.Era() && d.Version != other.Version && d.Version > 0 && other.Version > 0 {
		return d.Version > other.Version
	}
	return d.Revision > other.Revision
}

// announcement describes documents that are newer than the one in force.
type announcement struct {
	// newest is the newest announced document, first announced at newestAt.
	newest   DocumentID
	newestAt time.Time
	// lackingSince is when this instance first learned of a document that it still lacks.
	// lastHolder is when an instance that has such a document last announced it; instances that
	// only know of it do not count.
	lackingSince time.Time
	lastHolderAt time.Time
}

// updateSnapshots applies a change to the listed and to the effective endpoints. The two keep
// sharing one snapshot if they did.
func (v *View) updateSnapshots(do func(*fleet.Snapshot) *fleet.Snapshot) {
	same := v.Fleet == v.listed
	v.listed = do(v.listed)
	if same {
		v.Fleet = v.listed
		return
	}
	v.Fleet = do(v.Fleet)
}

// Evacuations returns the evacuated failure domains. They are at least as recent as the document.
func (v *View) Evacuations() fleet.Evacuations { return v.listed.Evacuations() }

// Rollouts returns the rollout orders, which are as recent as the evacuations.
func (v *View) Rollouts() fleet.Rollouts { return v.listed.Rollouts() }

// Complete reports whether requests can be served: the configuration, the evacuations and the
// rollouts are known, also by the peers.
func (v *View) Complete() bool { return v.Table != nil && v.ordersRevision() > 0 && v.peersAsked }

// Loaded reports whether the view is complete and the endpoints are known.
func (v *View) Loaded() bool { return v.Complete() && !v.Confirmed.IsZero() }

// ordersRevision returns the revision of the source up to which all orders are known.
func (v *View) ordersRevision() revision.Revision {
	return min(v.Evacuations().Revision, v.Rollouts().Revision)
}

// watchRevision returns the revision of the source up to which all documents and orders are known.
func (v *View) watchRevision() revision.Revision { return min(v.DocumentAt, v.ordersRevision()) }

// Era returns the era of the source, which rises with each restore from an older copy.
func (v *View) Era() uint64 { return v.listed.Revision.Era() }

// Age returns the time since the source confirmed that the configuration is the newest.
func (v *View) Age(now time.Time) time.Duration { return since(v.DocumentConfirmed, now) }

// FleetAge returns the time since the source confirmed the endpoints.
func (v *View) FleetAge(now time.Time) time.Duration { return since(v.Confirmed, now) }

func since(confirmed, now time.Time) time.Duration {
	if confirmed.IsZero() {
		return never
	}
	return now.Sub(confirmed)
}

// InForce identifies the document in force.
func (v *View) InForce() DocumentID {
	if v.Table == nil {
		return DocumentID{}
	}
	return DocumentID{Version: v.Table.Version, Revision: v.Document.Revision}
}

// Newest identifies the newest document that this instance knows of.
func (v *View) Newest() DocumentID {
	if inForce := v.InForce(); !v.announced.newest.newerThan(inForce) {
		return inForce
	}
	return v.announced.newest
}

// resolvedRevision returns the revision of the source up to which every document of that era is
// either in force, superseded or rejected.
func (v *View) resolvedRevision() revision.Revision {
	return max(v.Document.Revision, v.DocumentAt, v.rejected)
}

// resolves reports whether a document is in force, superseded or rejected. A document of an earlier
// era that is newer than the one in force is none of these: the source has lost it.
func (v *View) resolves(d DocumentID) bool {
	if !d.newerThan(v.InForce()) {
		return true
	}
	for _, upTo := range []revision.Revision{v.DocumentAt, v.rejected} {
		if d.Revision <= upTo && d.Revision.Era() == upTo.Era() {
			return true
		}
	}
	return false
}

// known identifies the newest document that is in force, resolved or announced.
func (v *View) known() DocumentID {
	newest := v.Newest()
	newest.Revision = max(newest.Revision, v.resolvedRevision())
	return newest
}

// Lacking reports whether a newer document than the one in force is known to exist, and for how
// long.
func (v *View) Lacking(now time.Time) (time.Duration, bool) {
	if v.resolves(v.announced.newest) {
		return 0, false
	}
	return now.Sub(v.announced.lackingSince), true
}

// Behind reports whether requests must be refused because other instances have had a newer
// configuration for longer than behindGrace, or at all if this instance has just started. One that was
// only written again after a restore has the same version.
func (v *View) Behind(now time.Time) bool {
	lacking, lacks := v.Lacking(now)
	grace := behindGrace
	if !v.current {
		grace = 0
	}
	if newest, inForce := v.announced.newest, v.InForce(); newest.Version > 0 && newest.Version == inForce.Version && newest.Revision.Era() != inForce.Revision.Era() {
		return false
	}
	return lacks && lacking >= grace && now.Sub(v.announced.lastHolderAt) < announcementTTL
}

// status returns the document status sent to other instances. After a newer document was rejected,
// it does not confirm the current one beyond its own revision, since other instances may accept the
// newer one.
func (v *View) status(now time.Time) DocumentStatus {
	inForce, newest := v.InForce(), v.Newest()
	m := DocumentStatus{
		Revision: inForce.Revision, Version: inForce.Version, At: v.DocumentAt, Age: v.Age(now),
		Newest: newest.Revision, NewestVersion: newest.Version, Evacuations: v.Evacuations(), Rollouts: v.Rollouts(),
	}
	if v.rejected > v.Document.Revision {
		m.At = v.Document.Revision
	}
	return m
}

// noteDocument records a document reported by an instance that has it, or only knows of it if has is
// false. It returns whether the document is the newest known so far.
func (v *View) noteDocument(d DocumentID, has bool, now time.Time) bool {
	if v.resolves(d) {
		return false
	}
	if _, lacked := v.Lacking(now); !lacked {
		v.announced.lackingSince = now
	}
	if has {
		v.announced.lastHolderAt = now
	}
	if !d.newerThan(v.announced.newest) {
		return false
	}
	v.announced.newest, v.announced.newestAt = d, now
	return true
}

// documentActivated updates lackingSince after a newer document was put in force. A document that is
// still missing has been known since newestAt.
func (v *View) documentActivated(now time.Time) {
	if _, lacks := v.Lacking(now); lacks {
		v.announced.lackingSince = v.announced.newestAt
	}
}

// confirmDocument records that a status was valid at a time.
func (v *View) confirmDocument(m DocumentStatus, at time.Time) {
	if m.Revision != v.Document.Revision {
		return
	}
	v.DocumentAt = max(v.DocumentAt, m.At)
	if v.Document.Revision > 0 && at.After(v.DocumentConfirmed) {
		v.DocumentConfirmed = at
	}
}

// reject records that the newest document as of a status cannot be put in force. The current document
// stays in force and is confirmed.
func (v *View) reject(m DocumentStatus, at time.Time) {
	v.rejected = max(v.rejected, m.Revision)
	v.confirmDocument(DocumentStatus{Revision: v.Document.Revision, At: m.At}, at)
}
