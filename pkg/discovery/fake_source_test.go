package discovery_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

var errUnavailable = errors.New("out")

// sourceState is the state of a source or a peer.
type sourceState struct {
	Revision  revision.Revision
	Document  discovery.Document
	Endpoints []fleet.Endpoint
	// Evacuated is sorted.
	Evacuated []string
	// Rollouts is sorted by service.
	Rollouts []fleet.Rollout
}

// fakeSource is a source or a peer whose state is set by the test.
type fakeSource struct {
	mu          sync.Mutex
	state       sourceState
	unavailable bool
	// historyGone and documentHistoryGone make the next watch of that kind return ErrHistoryGone.
	historyGone         bool
	documentHistoryGone bool
	// silent makes the next watch of endpoints get no answer, hung all of them until it is reset.
	silent bool
	hung   bool
	// hungWatches is the number of watches that were started while the source hung.
	hungWatches int
	// answersLate delays responses until the context of the call is done.
	answersLate bool
	relays      []string
	// contacts are the peers that an instance asks when it starts.
	contacts   []string
	watches    int
	relayCalls int
	age        time.Duration
	// evacuatedAt maps returned revisions to the evacuated failure domains. If set, orders is
	// returned by watches instead.
	evacuatedAt map[revision.Revision][]string
	orders      []fleet.Evacuation
	// silentOnOrders omits evacuations and rollouts, as old versions do.
	silentOnOrders bool
	// silentOnRollouts omits rollouts, as versions before rollouts do.
	silentOnRollouts bool
}

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeSource) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *fakeSource) hungWatchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hungWatches
}

// loseHistory sets a new state and makes the next watch of both kinds return ErrHistoryGone.
func (s *fakeSource) loseHistory(next sourceState) {
	s.set(func(s *fakeSource) {
		s.unavailable, s.historyGone, s.documentHistoryGone, s.state = false, true, true, next
	})
}

func (s *fakeSource) read() (sourceState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.unavailable
}

func (s *fakeSource) State(context.Context, discovery.Progress) (discovery.State, error) {
	state, out := s.read()
	if out {
		return discovery.State{}, errUnavailable
	}
	return discovery.State{Revision: state.Revision, Endpoints: state.Endpoints}, nil
}

func (s *fakeSource) Document(context.Context, discovery.Progress) (discovery.LatestDocument, error) {
	state, out := s.read()
	if out {
		return discovery.LatestDocument{}, errUnavailable
	}
	s.recordEvacuated(state)
	return discovery.LatestDocument{At: state.Revision, Document: state.Document, Evacuations: ordersBetween(nil, state.Evacuated), Rollouts: ordersOf(state.Rollouts)}, nil
}

// recordEvacuated records the evacuated failure domains returned as of a revision.
func (s *fakeSource) recordEvacuated(state sourceState) {
	s.set(func(s *fakeSource) {
		if s.evacuatedAt == nil {
			s.evacuatedAt = map[revision.Revision][]string{}
		}
		s.evacuatedAt[state.Revision] = state.Evacuated
	})
}

func (s *fakeSource) Watch(ctx context.Context, since revision.Revision, wait time.Duration, _ discovery.Progress) (discovery.Changes, error) {
	s.set(func(s *fakeSource) { s.watches++ })
	if s.consume(&s.silent) {
		<-ctx.Done()
		return discovery.Changes{}, ctx.Err()
	}
	if err := s.awaitUnhung(ctx); err != nil {
		return discovery.Changes{}, err
	}
	state, err := s.await(ctx, since, wait, &s.historyGone)
	changes := discovery.Changes{Revision: state.Revision}
	for _, e := range state.Endpoints {
		changes.Endpoints = append(changes.Endpoints, fleet.Change{Endpoint: e})
	}
	return changes, err
}

func (s *fakeSource) WatchDocument(ctx context.Context, since revision.Revision, wait time.Duration, _ discovery.Progress) (discovery.LatestDocument, error) {
	state, err := s.await(ctx, since, wait, &s.documentHistoryGone)
	newest := discovery.LatestDocument{At: state.Revision}
	if state.Document.Revision > since {
		newest.Document = state.Document
	}
	newest.Evacuations = s.ordersSince(since, state)
	newest.Rollouts = ordersOf(state.Rollouts)
	s.recordEvacuated(state)
	return newest, err
}

// await returns the state once it is newer than a revision or the wait time has expired.
func (s *fakeSource) await(ctx context.Context, since revision.Revision, wait time.Duration, gone *bool) (sourceState, error) {
	until := time.Now().Add(wait)
	for {
		state, out := s.read()
		if out {
			return sourceState{}, errUnavailable
		}
		if s.consume(gone) {
			return sourceState{}, discovery.ErrHistoryGone
		}
		if state.Revision > since || time.Now().After(until) {
			if s.isLate() {
				<-ctx.Done()
				return state, nil
			}
			return state, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitUnhung waits until the source is not hung.
func (s *fakeSource) awaitUnhung(ctx context.Context) error {
	s.set(func(s *fakeSource) {
		if s.hung {
			s.hungWatches++
		}
	})
	for {
		s.mu.Lock()
		hung := s.hung
		s.mu.Unlock()
		if !hung || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *fakeSource) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersLate
}

// consume returns and resets a flag.
func (s *fakeSource) consume(flag *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := *flag
	*flag = false
	return was
}

func (*fakeSource) Decode(d discovery.Document) (route.Config, error) {
	var config route.Config
	err := json.Unmarshal(d.Data, &config)
	return config, err
}

// fakePeers exposes a source as peers.
type fakePeers struct{ *fakeSource }

// stateAge returns the age of the peers' confirmation by the source.
func (p fakePeers) stateAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age
}

func (p fakePeers) status(state sourceState) discovery.DocumentStatus {
	status := discovery.DocumentStatus{Revision: state.Document.Revision, Version: versionOf(state), At: state.Revision, Age: p.stateAge(), Newest: state.Document.Revision, NewestVersion: versionOf(state)}
	p.mu.Lock()
	if !p.silentOnOrders {
		status.Evacuations = fleet.Evacuations{Revision: state.Revision, Domains: state.Evacuated}
	}
	if !p.silentOnOrders && !p.silentOnRollouts {
		status.Rollouts = fleet.Rollouts{Revision: state.Revision, Orders: state.Rollouts}
	}
	p.mu.Unlock()
	return status
}

func (p fakePeers) State(_ context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	state, out := p.read()
	if out {
		return discovery.PeerState{}, errUnavailable
	}
	known := discovery.PeerState{Age: p.stateAge(), Status: p.status(state)}
	known.State.Revision, known.Same = state.Revision, state.Revision == newerThan
	if state.Revision > newerThan {
		known.State.Endpoints = state.Endpoints
	}
	return known, nil
}

func (p fakePeers) Relay(ctx context.Context, _ string, selection discovery.RelayRequest) (discovery.RelayResponse, error) {
	p.set(func(s *fakeSource) { s.relayCalls++ })
	changes, err := p.Watch(ctx, selection.Since, selection.Wait, nil)
	state, _ := p.read()
	return discovery.RelayResponse{Changes: changes, Age: p.stateAge(), Status: p.status(state)}, err
}

func (p fakePeers) Relays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays
}

func (p fakePeers) Holders(wanted func(discovery.DocumentID) bool) []string {
	if state, out := p.read(); out || !wanted(discovery.DocumentID{Revision: state.Document.Revision, Version: versionOf(state)}) {
		return nil
	}
	return []string{"peer"}
}

// versionOf returns the version of a state's document, or 0 if it has none.
func versionOf(state sourceState) uint64 {
	var config route.Config
	_ = json.Unmarshal(state.Document.Data, &config)
	return config.Version
}

func (p fakePeers) Piece(_ context.Context, _ string, selection discovery.PieceRequest) (discovery.Piece, error) {
	state, out := p.read()
	if out {
		return discovery.Piece{}, errUnavailable
	}
	piece := discovery.Piece{Status: p.status(state)}
	newer := state.Document.Revision > selection.NewerThan
	if state.Document.Revision.Era() != selection.NewerThan.Era() {
		newer = versionOf(state) > selection.Version
	}
	if !newer || selection.MaxAge > 0 && p.stateAge() > selection.MaxAge {
		return piece, nil
	}
	digest, data := discovery.Pack(state.Document)
	piece.Digest, piece.Size, piece.Data = digest, len(data), data
	return piece, nil
}

func (fakePeers) Announce() {}

func (p fakePeers) Contacts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contacts
}

func document(at revision.Revision, version uint64) discovery.Document {
	data, err := json.Marshal(route.Config{Version: version})
	Expect(err).NotTo(HaveOccurred())
	return discovery.Document{Revision: at, Data: data}
}

func state(at, documentRevision revision.Revision, version uint64, endpoints ...string) sourceState {
	s := sourceState{Revision: at, Document: document(documentRevision, version)}
	for _, id := range endpoints {
		s.Endpoints = append(s.Endpoints, fleet.Endpoint{ID: id, Service: "s"})
	}
	return s
}
