package discovery

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// restoredSource is a follower whose updates a test gives as those of a source.
type restoredSource struct {
	*Follower
	clock *clockwork.FakeClock
}

func newRestored() restoredSource {
	clock := clockwork.NewFakeClock()
	return restoredSource{New(nil, noPeers{}, clock, logging.Discard().For("discovery")), clock}
}

func entryOf(id string) fleet.Endpoint { return fleet.Endpoint{ID: id, Service: "s"} }

func leavingEntry(id string) fleet.Endpoint {
	e := entryOf(id)
	e.Leaving = true
	return e
}

func (r restoredSource) read(at revision.Revision, endpoints ...fleet.Endpoint) {
	now := r.clock.Now()
	r.apply(endpointsUpdate{state: State{Revision: at, Endpoints: endpoints}, confirmedAt: now, heardAt: now})
}

func (r restoredSource) changed(since, at revision.Revision, changes ...fleet.Change) {
	now := r.clock.Now()
	r.apply(changesUpdate{changes: Changes{Revision: at, Endpoints: changes}, since: since, confirmedAt: now, heardAt: now})
}

// wantReady checks the endpoints of service s that may get work.
func (r restoredSource) wantReady(t *testing.T, when string, ids ...string) {
	t.Helper()
	var got []string
	for _, e := range r.View().Fleet.Ready("s") {
		got = append(got, e.ID)
	}
	if len(got) != len(ids) {
		t.Fatalf("%s: %v are ready, want %v", when, got, ids)
	}
	for i := range ids {
		if got[i] != ids[i] {
			t.Fatalf("%s: %v are ready, want %v", when, got, ids)
		}
	}
}

func gone(id string) fleet.Change { return fleet.Change{Endpoint: entryOf(id), Gone: true} }

func TestAnEndpointThatHadLeftIsNotUsedAgainByAnOlderCopy(t *testing.T) {
	r := newRestored()
	r.read(10, entryOf("a"), entryOf("b"), entryOf("c"))
	r.changed(10, 12, fleet.Change{Endpoint: leavingEntry("a")}, gone("b"))
	r.wantReady(t, "before", "c")
	r.read(revision.At(1, 10), entryOf("a"), entryOf("b"), entryOf("c"))
	r.wantReady(t, "by the copy", "c")
	r.changed(revision.At(1, 10), revision.At(1, 12), fleet.Change{Endpoint: leavingEntry("a")}, gone("b"))
	r.wantReady(t, "written again", "c")
	r.clock.Advance(settlePeriod)
	r.apply(settled{})
	r.wantReady(t, "settled", "c")
}

func TestAnEndpointThatRegistersAgainAfterARestoreIsUsed(t *testing.T) {
	r := newRestored()
	r.read(10, entryOf("a"), entryOf("b"))
	r.changed(10, 11, gone("a"))
	r.read(revision.At(1, 10), entryOf("a"), entryOf("b"))
	r.wantReady(t, "by the copy", "b")
	r.changed(revision.At(1, 10), revision.At(1, 11), fleet.Change{Endpoint: entryOf("a")})
	r.wantReady(t, "registered again", "a", "b")
}

func TestAnEntryThatStillStandsWhenTheRestoreIsSettledIsBelieved(t *testing.T) {
	r := newRestored()
	r.read(10, entryOf("a"), entryOf("b"))
	r.changed(10, 11, gone("a"))
	r.read(revision.At(1, 10), entryOf("a"), entryOf("b"))
	r.read(revision.At(1, 10), entryOf("a"), entryOf("b"))
	r.wantReady(t, "read twice", "b")
	if listed := r.LocalState(0).State.Endpoints; len(listed) != 2 {
		t.Fatalf("a peer is told %v, want both entries", listed)
	}
	r.clock.Advance(settlePeriod)
	r.apply(settled{})
	r.wantReady(t, "settled", "a", "b")
}

func TestAnEndpointThatTheCopyLacksIsUsedUntilItCanHaveRegisteredAgain(t *testing.T) {
	r := newRestored()
	r.read(10, entryOf("a"))
	r.changed(10, 11, fleet.Change{Endpoint: entryOf("b")})
	r.read(revision.At(1, 10), entryOf("a"))
	r.wantReady(t, "by the copy", "a", "b")
	r.clock.Advance(reregistrationGrace)
	r.apply(outageGraceExpired{})
	r.wantReady(t, "not registered again", "a")
}

// Guards against a second restore before the first is settled that brings back what had left.
func TestASecondOlderCopyBringsNothingBack(t *testing.T) {
	r := newRestored()
	r.read(10, entryOf("a"), entryOf("b"), entryOf("c"))
	r.changed(10, 12, fleet.Change{Endpoint: leavingEntry("a")}, gone("b"))
	for era := uint64(1); era <= 3; era++ {
		r.read(revision.At(era, 10), entryOf("a"), entryOf("b"), entryOf("c"))
		r.wantReady(t, "by a copy", "c")
		r.clock.Advance(settlePeriod / 2)
	}
}

func TestARestoreDoesNotBeginAWarmupAnew(t *testing.T) {
	cold := entryOf("a")
	cold.ColdMs, cold.ColdRevision = 5000, 9
	r := newRestored()
	r.read(10, cold)
	cold.ColdRevision = revision.At(1, 9)
	r.read(revision.At(1, 10), cold)
	if e, _ := r.View().Fleet.Endpoint("a"); e.ColdRevision != 9 {
		t.Errorf("the warm-up is of revision %s, want 9", e.ColdRevision)
	}
}

// Guards against instances behind a relay that all read everything anew after a restore.
func TestARelaySendsTheDifferencesBetweenTwoEras(t *testing.T) {
	relay, follower := newRestored(), newRestored()
	for _, r := range []restoredSource{relay, follower} {
		r.read(10, entryOf("a"), entryOf("b"), entryOf("c"))
	}
	relay.changed(10, 12, fleet.Change{Endpoint: leavingEntry("a")}, gone("b"))
	relay.changed(12, 13, fleet.Change{Endpoint: entryOf("d")})
	relay.read(revision.At(1, 11), entryOf("a"), entryOf("b"), entryOf("c"))
	relay.changed(revision.At(1, 11), revision.At(1, 12), fleet.Change{Endpoint: entryOf("e")})
	for step := 0; follower.View().listed.Revision < relay.View().listed.Revision; step++ {
		since := follower.View().listed.Revision
		answer := relay.relayResponse(relay.View(), since)
		if answer.Gone || step > 3 {
			t.Fatalf("the relay answers %+v to %s", answer, since)
		}
		follower.changed(since, answer.Changes.Revision, answer.Changes.Endpoints...)
	}
	follower.wantReady(t, "by the relay", "c", "d", "e")
	follower.clock.Advance(time.Minute)
	follower.apply(outageGraceExpired{})
	follower.wantReady(t, "without what the copy lacks", "c", "e")
	if answer := relay.relayResponse(relay.View(), 14); !answer.Gone {
		t.Errorf("differences are sent to a revision that they were not taken from: %+v", answer)
	}
}

// document puts a document in force as one of the source.
func (r restoredSource) document(at revision.Revision, version uint64) {
	r.apply(documentUpdate{
		document: Document{Revision: at}, table: &route.Table{Version: version}, status: DocumentStatus{Revision: at, At: at},
		confirmedAt: r.clock.Now(), from: "source", orders: orders{at: at},
	})
}

func TestADocumentThatWasOnlyWrittenAgainStopsNobody(t *testing.T) {
	r := newRestored()
	r.apply(peersAsked{})
	r.document(5, 7)
	r.apply(peerDocumentUpdate{Version: 7, Revision: revision.At(1, 5)})
	r.clock.Advance(behindGrace)
	if _, lacks := r.View().Lacking(r.clock.Now()); !lacks || r.View().Behind(r.clock.Now()) {
		t.Errorf("lacks it: %t, refuses requests: %t", lacks, r.View().Behind(r.clock.Now()))
	}
	r.apply(peerDocumentUpdate{Version: 8, Revision: revision.At(1, 6)})
	r.clock.Advance(behindGrace)
	if !r.View().Behind(r.clock.Now()) {
		t.Error("serves without the newer version")
	}
}

func TestAnInstanceThatStartsOnAnOlderCopyDoesNotServeByIt(t *testing.T) {
	r := newRestored()
	r.document(revision.At(1, 5), 7)
	if r.View().Complete() {
		t.Error("serves before the peers were asked")
	}
	r.apply(statusUpdate{status: DocumentStatus{Revision: 6, Version: 8, Newest: 6, NewestVersion: 8}, at: r.clock.Now()})
	r.apply(peersAsked{})
	if !r.View().Behind(r.clock.Now()) {
		t.Error("serves by version 7 although a peer has version 8")
	}
	r.apply(documentUpdate{document: Document{Revision: 6}, table: &route.Table{Version: 8}, status: DocumentStatus{Revision: 6, Version: 8, At: 6}, confirmedAt: r.clock.Now(), from: "peer"})
	if !r.View().Complete() || r.View().Behind(r.clock.Now()) || r.View().Table.Version != 8 {
		t.Errorf("does not serve by version 8: %+v", r.View().InForce())
	}
}
