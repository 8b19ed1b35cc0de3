// Package operators is the operators' face: the service of api/cobaltcroft/v1 over
// gRPC, gRPC-Web and Connect.
package operators

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1/cobaltcroftv1connect"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// maxRequestBytes bounds an operator's message.
	maxRequestBytes = 16 << 20
	// applyTimeout bounds Apply where the caller gives no shorter time; of a shorter
	// time, answerShare is kept for the answer, so that a fate that is known here is
	// not lost on the way.
	applyTimeout = 5 * time.Second
	answerShare  = 0.1
	// peerTimeout bounds what is asked of one peer, peersAtOnce how many are asked
	// at once.
	peerTimeout = 2 * time.Second
	peersAtOnce = 32
	// defaultHistory is how many changes History gives where no limit is named.
	defaultHistory = 100
	maxChangeID    = 128
)

// Peers asks other instances.
type Peers interface {
	Status(ctx context.Context, address string) (api.InstanceStatus, error)
	Timeline(ctx context.Context, address string, selection api.TimelineSelect) (api.TimelineEvents, error)
}

// Options of the face.
type Options struct {
	Tokens    []string
	Submitter *config.Submitter
	Replica   *config.Replica
	Control   *control.Control
	// Reached tells whether the key-value service answers.
	Reached func() bool
	// OwnStatus and Select answer for this instance.
	OwnStatus func() api.InstanceStatus
	Select    func(api.TimelineSelect) api.TimelineEvents
	Peers     Peers
	Clock     clockwork.Clock
	Ring      *timeline.Ring
	Log       *logrus.Entry
}

// Face is the operators' face.
type Face struct{ Options }

var _ cobaltcroftv1connect.OperatorsHandler = (*Face)(nil)

// New returns the face as a path prefix and its handler.
func New(o Options) (string, http.Handler) {
	f := &Face{o}
	return cobaltcroftv1connect.NewOperatorsHandler(f, connect.WithReadMaxBytes(maxRequestBytes), connect.WithInterceptors(connect.UnaryInterceptorFunc(f.guard)))
}

// guard refuses calls without a right token, and turns problems into Connect errors.
func (f *Face) guard(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if !f.known(strings.TrimPrefix(req.Header().Get("Authorization"), "Bearer ")) {
			f.Log.WithFields(logrus.Fields{"event": "operator_refused", "from": req.Peer().Addr, "procedure": req.Spec().Procedure}).Warn()
			return nil, connectError(problem.New(problem.Denied, "send the header 'Authorization: Bearer TOKEN' with one of tokens.operators", "the token is missing or wrong"))
		}
		resp, err := next(ctx, req)
		if err != nil {
			return nil, connectError(err)
		}
		return resp, nil
	}
}

func (f *Face) known(token string) bool {
	found := 0
	for _, t := range f.Tokens {
		found |= subtle.ConstantTimeCompare([]byte(t), []byte(token))
	}
	return found == 1
}

// Apply implements the service.
func (f *Face) Apply(ctx context.Context, req *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	id := req.Msg.ChangeId
	if id == "" {
		id = uuid.NewString()
	}
	if len(id) > maxChangeID {
		return nil, problem.New(problem.Invalid, "use at most 128 characters; nothing was changed", "change_id has %d characters", len(id))
	}
	ctx, cancel := context.WithTimeout(ctx, applyTime(ctx))
	defer cancel()
	change := config.NewChange(id, req.Msg.Author, f.Clock.Now(), convert.Operations(req.Msg.Operations)...)
	result, err := f.Submitter.Submit(ctx, change)
	if err != nil {
		f.Ring.Add(timeline.Event{Kind: timeline.ChangeRefused, Change: id, Detail: err.Error()})
		f.Log.WithFields(logrus.Fields{"event": timeline.ChangeRefused, "change": id, "kind": problem.KindOf(err)}).Warn(err)
		return nil, err
	}
	f.Ring.Add(timeline.Event{Kind: timeline.ChangeAccepted, Change: id})
	f.Log.WithFields(logrus.Fields{"event": timeline.ChangeAccepted, "change": id, "revision": result.Revision, "repeated": result.Repeated, "author": req.Msg.Author}).Info()
	return connect.NewResponse(&pb.ApplyResponse{ChangeId: id, Revision: result.Revision, Repeated: result.Repeated}), nil
}

func applyTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return applyTimeout
	}
	left := time.Until(deadline)
	return min(applyTimeout, left-time.Duration(answerShare*float64(left)))
}

// GetConfiguration implements the service.
func (f *Face) GetConfiguration(_ context.Context, req *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	current := f.Replica.Current()
	resp := &pb.GetConfigurationResponse{Revision: current.Revision()}
	for _, key := range current.Keys() {
		if req.Msg.Kind != "" && req.Msg.Kind != string(key.Kind) {
			continue
		}
		if req.Msg.Name != "" && req.Msg.Name != key.Name {
			continue
		}
		stored, _ := current.Get(key)
		resp.Objects = append(resp.Objects, convert.Object(stored))
	}
	return connect.NewResponse(resp), nil
}

// History implements the service.
func (f *Face) History(_ context.Context, req *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	limit := int(req.Msg.Limit)
	if limit == 0 {
		limit = defaultHistory
	}
	accepted := f.Replica.Current().History()
	resp := &pb.HistoryResponse{}
	for _, a := range accepted[max(0, len(accepted)-limit):] {
		resp.Changes = append(resp.Changes, convert.Change(a))
	}
	return connect.NewResponse(resp), nil
}

// Status implements the service.
func (f *Face) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	self := f.self()
	resp := &pb.StatusResponse{
		Instance:          self.Name,
		Revision:          self.Revision,
		PlatformReachable: f.Reached(),
		Instances:         append(f.askStatus(ctx), self),
		Endpoints:         f.endpoints(),
	}
	sort.Slice(resp.Instances, func(i, j int) bool { return resp.Instances[i].Name < resp.Instances[j].Name })
	return connect.NewResponse(resp), nil
}

// askStatus asks all peers at once; for one that does not answer, what its last
// heartbeat told is given.
func (f *Face) askStatus(ctx context.Context) []*pb.InstanceStatus {
	members := f.Control.Members()
	statuses := make([]*pb.InstanceStatus, len(members))
	f.eachPeer(ctx, members, func(ctx context.Context, i int) {
		member := members[i]
		status, err := f.Peers.Status(ctx, member.PeerAddress)
		statuses[i] = &pb.InstanceStatus{Name: member.Name, FailureDomain: member.FailureDomain, State: string(member.State), Revision: member.Revision, Incarnation: member.Incarnation}
		if err == nil {
			statuses[i].Reached = true
			statuses[i].Revision = status.Revision
		}
	})
	return statuses
}

func (f *Face) eachPeer(ctx context.Context, members []membership.Member, ask func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(peersAtOnce)
	for i := range members {
		group.Go(func() error {
			ask(ctx, i)
			return nil
		})
	}
	_ = group.Wait()
}

// self is this instance's own row.
func (f *Face) self() *pb.InstanceStatus {
	s := f.OwnStatus()
	state := membership.Live
	if s.Stopping {
		state = membership.Leaving
	}
	return &pb.InstanceStatus{Name: s.Instance, FailureDomain: s.FailureDomain, State: string(state), Revision: s.Revision, Incarnation: s.Incarnation, Reached: true}
}

func (f *Face) endpoints() []*pb.EndpointStatus {
	var list []*pb.EndpointStatus
	view := f.Control.View()
	for _, service := range view.Configuration.Services() {
		for _, e := range view.Pools[service.Name].Statuses() {
			state := "live"
			if e.Leaving {
				state = "leaving"
			}
			list = append(list, &pb.EndpointStatus{Name: e.Name, Service: service.Name, FailureDomain: e.FailureDomain, Address: e.Address, State: state, InFlight: uint32(e.InFlight), Ejected: e.Ejected})
		}
	}
	return list
}

// Timeline implements the service.
func (f *Face) Timeline(ctx context.Context, req *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	selection := api.TimelineSelect{Request: req.Msg.RequestId, Change: req.Msg.ChangeId, Endpoint: req.Msg.Endpoint, Limit: int(req.Msg.Limit)}
	members := f.Control.Members()
	answers := make([]api.TimelineEvents, len(members)+1)
	gaps := make([]string, len(members))
	answers[len(members)] = f.Select(selection)
	f.eachPeer(ctx, members, func(ctx context.Context, i int) {
		events, err := f.Peers.Timeline(ctx, members[i].PeerAddress, selection)
		if err != nil {
			gaps[i] = members[i].Name + " was not reached; its events are missing"
			return
		}
		answers[i] = events
	})
	resp := &pb.TimelineResponse{}
	var parts [][]timeline.Event
	for _, answer := range answers {
		parts = append(parts, eventsFrom(answer))
		if answer.Dropped > 0 {
			gaps = append(gaps, answer.Instance+" no longer has its older events")
		}
	}
	for _, gap := range gaps {
		if gap != "" {
			resp.Gaps = append(resp.Gaps, gap)
		}
	}
	for _, e := range timeline.Merge(parts...) {
		resp.Events = append(resp.Events, convert.EventProto(e))
	}
	return connect.NewResponse(resp), nil
}

func eventsFrom(answer api.TimelineEvents) []timeline.Event {
	events := make([]timeline.Event, 0, len(answer.Events))
	for _, e := range answer.Events {
		events = append(events, convert.EventFrom(e))
	}
	return events
}
