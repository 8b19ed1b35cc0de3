// Package operators implements the operators' API: the service of api/cobaltcroft/v1 over gRPC,
// gRPC-Web and Connect.
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
	// maxRequestBytes is the maximum size of a request message.
	maxRequestBytes = 16 << 20
	// applyTimeout is the longest duration of Apply. If the caller has a shorter deadline,
	// responseShare of the remaining time is reserved for the response, so that a known outcome
	// still reaches the caller.
	applyTimeout  = 5 * time.Second
	responseShare = 0.1
	// peerTimeout limits the calls to peers, maxConcurrentPeers their concurrency.
	peerTimeout        = 2 * time.Second
	maxConcurrentPeers = 32
	// defaultHistory is the number of changes that History returns if no limit is set.
	defaultHistory = 100
	maxChangeID    = 128
)

// Peers calls other instances.
type Peers interface {
	Status(ctx context.Context, address string) (api.InstanceStatus, error)
	Timeline(ctx context.Context, address string, selection api.TimelineRequest) (api.TimelineResponse, error)
}

// Options configures a Handler.
type Options struct {
	Tokens    []string
	Submitter *config.Submitter
	Replica   *config.Replica
	Control   *control.Control
	// PlatformReachable reports whether the key-value service is reachable.
	PlatformReachable func() bool
	// OwnStatus and Select return the status and timeline of this instance.
	OwnStatus    func() api.InstanceStatus
	SelectEvents func(api.TimelineRequest) api.TimelineResponse
	Peers        Peers
	Clock        clockwork.Clock
	Ring         *timeline.Ring
	Log          *logrus.Entry
}

// Handler implements the Operators service.
type Handler struct{ Options }

var _ cobaltcroftv1connect.OperatorsHandler = (*Handler)(nil)

// New returns the path prefix of the service and its handler.
func New(o Options) (string, http.Handler) {
	s := &Handler{o}
	return cobaltcroftv1connect.NewOperatorsHandler(s, connect.WithReadMaxBytes(maxRequestBytes), connect.WithInterceptors(connect.UnaryInterceptorFunc(s.authenticate)))
}

// authenticate rejects calls without a valid token and converts errors to Connect errors.
func (s *Handler) authenticate(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if !s.validToken(strings.TrimPrefix(req.Header().Get("Authorization"), "Bearer ")) {
			s.Log.WithFields(logrus.Fields{"event": "operator_refused", "from": req.Peer().Addr, "procedure": req.Spec().Procedure}).Warn()
			return nil, connectError(problem.New(problem.Denied, "send the header 'Authorization: Bearer TOKEN' with one of tokens.operators", "the token is missing or invalid"))
		}
		resp, err := next(ctx, req)
		if err != nil {
			return nil, connectError(err)
		}
		return resp, nil
	}
}

func (s *Handler) validToken(token string) bool {
	found := 0
	for _, t := range s.Tokens {
		found |= subtle.ConstantTimeCompare([]byte(t), []byte(token))
	}
	return found == 1
}

// Apply implements cobaltcroftv1connect.OperatorsHandler.
func (s *Handler) Apply(ctx context.Context, req *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	id := req.Msg.ChangeId
	if id == "" {
		id = uuid.NewString()
	}
	if len(id) > maxChangeID {
		return nil, problem.New(problem.Invalid, "use at most 128 characters; the change was not applied", "change_id has %d characters", len(id))
	}
	ctx, cancel := context.WithTimeout(ctx, applyBudget(ctx))
	defer cancel()
	change := config.NewChange(id, req.Msg.Author, s.Clock.Now(), convert.Operations(req.Msg.Operations)...)
	result, err := s.Submitter.Submit(ctx, change)
	if err != nil {
		s.Ring.Add(timeline.Event{Kind: timeline.ChangeRefused, Change: id, Detail: err.Error()})
		s.Log.WithFields(logrus.Fields{"event": timeline.ChangeRefused, "change": id, "kind": problem.KindOf(err)}).Warn(err)
		return nil, err
	}
	s.Ring.Add(timeline.Event{Kind: timeline.ChangeAccepted, Change: id})
	s.Log.WithFields(logrus.Fields{"event": timeline.ChangeAccepted, "change": id, "revision": result.Revision, "repeated": result.Repeated, "author": req.Msg.Author}).Info()
	return connect.NewResponse(&pb.ApplyResponse{ChangeId: id, Revision: result.Revision, Repeated: result.Repeated}), nil
}

func applyBudget(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return applyTimeout
	}
	remaining := time.Until(deadline)
	return min(applyTimeout, remaining-time.Duration(responseShare*float64(remaining)))
}

// GetConfiguration implements cobaltcroftv1connect.OperatorsHandler.
func (s *Handler) GetConfiguration(_ context.Context, req *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	current := s.Replica.Current()
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

// History implements cobaltcroftv1connect.OperatorsHandler.
func (s *Handler) History(_ context.Context, req *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	limit := int(req.Msg.Limit)
	if limit == 0 {
		limit = defaultHistory
	}
	accepted := s.Replica.Current().History()
	resp := &pb.HistoryResponse{}
	for _, a := range accepted[max(0, len(accepted)-limit):] {
		resp.Changes = append(resp.Changes, convert.Change(a))
	}
	return connect.NewResponse(resp), nil
}

// Status implements cobaltcroftv1connect.OperatorsHandler.
func (s *Handler) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	self := s.instanceStatus()
	resp := &pb.StatusResponse{
		Instance:          self.Name,
		Revision:          self.Revision,
		PlatformReachable: s.PlatformReachable(),
		Instances:         append(s.peerStatuses(ctx), self),
		Endpoints:         s.endpointStatuses(),
	}
	sort.Slice(resp.Instances, func(i, j int) bool { return resp.Instances[i].Name < resp.Instances[j].Name })
	return connect.NewResponse(resp), nil
}

// peerStatuses queries all peers concurrently. For a peer that does not respond, it returns the
// state of the last heartbeat.
func (s *Handler) peerStatuses(ctx context.Context) []*pb.InstanceStatus {
	members := s.Control.Members()
	statuses := make([]*pb.InstanceStatus, len(members))
	s.forEachPeer(ctx, members, func(ctx context.Context, i int) {
		member := members[i]
		status, err := s.Peers.Status(ctx, member.PeerAddress)
		statuses[i] = &pb.InstanceStatus{Name: member.Name, FailureDomain: member.FailureDomain, State: string(member.State), Revision: member.Revision, Incarnation: member.Incarnation}
		if err == nil {
			statuses[i].Reached = true
			statuses[i].Revision = status.Revision
		}
	})
	return statuses
}

func (s *Handler) forEachPeer(ctx context.Context, members []membership.Member, call func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentPeers)
	for i := range members {
		group.Go(func() error {
			call(ctx, i)
			return nil
		})
	}
	_ = group.Wait()
}

// instanceStatus returns the status of this instance.
func (s *Handler) instanceStatus() *pb.InstanceStatus {
	status := s.OwnStatus()
	state := membership.Live
	if status.Stopping {
		state = membership.Leaving
	}
	return &pb.InstanceStatus{Name: status.Instance, FailureDomain: status.FailureDomain, State: string(state), Revision: status.Revision, Incarnation: status.Incarnation, Reached: true}
}

func (s *Handler) endpointStatuses() []*pb.EndpointStatus {
	var list []*pb.EndpointStatus
	view := s.Control.View()
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

// Timeline implements cobaltcroftv1connect.OperatorsHandler.
func (s *Handler) Timeline(ctx context.Context, req *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	selection := api.TimelineRequest{Request: req.Msg.RequestId, Change: req.Msg.ChangeId, Endpoint: req.Msg.Endpoint, Limit: int(req.Msg.Limit)}
	members := s.Control.Members()
	responses := make([]api.TimelineResponse, len(members)+1)
	gaps := make([]string, len(members))
	responses[len(members)] = s.SelectEvents(selection)
	s.forEachPeer(ctx, members, func(ctx context.Context, i int) {
		events, err := s.Peers.Timeline(ctx, members[i].PeerAddress, selection)
		if err != nil {
			gaps[i] = members[i].Name + " is unreachable; its events are missing"
			return
		}
		responses[i] = events
	})
	resp := &pb.TimelineResponse{}
	var parts [][]timeline.Event
	for _, response := range responses {
		parts = append(parts, convertEvents(response))
		if response.Dropped > 0 {
			gaps = append(gaps, response.Instance+" has discarded its older events")
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

func convertEvents(response api.TimelineResponse) []timeline.Event {
	events := make([]timeline.Event, 0, len(response.Events))
	for _, e := range response.Events {
		events = append(events, convert.EventFrom(e))
	}
	return events
}
