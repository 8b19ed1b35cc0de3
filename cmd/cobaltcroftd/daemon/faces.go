package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
	"github.com/cobaltcroft/cobaltcroft/pkg/kernel"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/traffic"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/callers"
	"github.com/cobaltcroft/cobaltcroft/service/operators"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// headerTimeout and idleTimeout bound slow clients of the HTTP faces.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// httpFace is an HTTP server on one of the faces.
type httpFace struct{ server *http.Server }

func startHTTP(t *tomb.Tomb, log *logrus.Entry, face, address string, handler http.Handler) (*httpFace, error) {
	listener, err := peers.ListenTCP(face, address)
	if err != nil {
		return nil, err
	}
	logListening(log, face, listener.Addr().String())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f := &httpFace{server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		Protocols:         protocols,
	}}
	t.Go(func() error { return serve(f.server, listener) })
	return f, nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// stop lets the requests in flight end, for up to grace.
func (f *httpFace) stop(grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	return f.server.Shutdown(ctx)
}

// trafficService runs requests and answers the peers' calls, which may bring some.
type trafficService struct {
	base     *base
	control  *controlService
	config   *configService
	client   *openinference.Client
	executor *traffic.Executor
	gate     *atmostonce.Gate
	server   *peers.Server
	listener net.Listener
}

var _ peers.Backend = (*trafficService)(nil)

// Start implements kernel.Service.
func (s *trafficService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var platformService *platformService
	var peersService *peersService
	err := errors.Join(
		kernel.Find(k, ServiceBase, &s.base),
		kernel.Find(k, ServiceControl, &s.control),
		kernel.Find(k, ServiceConfig, &s.config),
		kernel.Find(k, ServicePlatform, &platformService),
		kernel.Find(k, ServicePeers, &peersService),
	)
	if err != nil {
		return err
	}
	s.client = openinference.New(s.base.settings.Limits.AnswerBytes)
	s.executor = traffic.New(s.options())
	s.gate = s.newGate(platformService, peersService)
	s.server = peers.NewServer(peers.InstanceHandler{Backend: s}, s.base.settings.Tokens.Peers, s.base.usage, s.base.logs.For("peers"))
	s.listener = peersService.listener
	t.Go(func() error {
		s.server.Serve(s.listener)
		return nil
	})
	return nil
}

func (s *trafficService) options() traffic.Options {
	return traffic.Options{
		Instance:    s.base.settings.Instance,
		View:        s.control.View,
		OnLeaving:   s.control.ReportLeaving,
		Caller:      s.client,
		Clock:       s.base.clock,
		Ring:        s.base.ring,
		Log:         s.base.logs.For("traffic"),
		Metrics:     traffic.NewMetrics(s.base.metrics),
		Shares:      s.base.shares,
		MaxInFlight: s.base.settings.Limits.InFlight,
		Baseline:    s.base.settings.Policy != settings.PolicyCobaltcroft,
	}
}

func (s *trafficService) newGate(platformService *platformService, peersService *peersService) *atmostonce.Gate {
	self := atmostonce.Holder{Instance: s.base.settings.Instance, Incarnation: s.base.incarnation, PeerAddress: peersService.self.PeerAddress}
	return &atmostonce.Gate{
		Table:   atmostonce.NewTable(s.base.clock),
		Claims:  atmostonce.NewClaims(platformService.keyValue, s.base.clock, s.base.settings.Timings.ClaimRetention.Std(), self),
		Forward: peersService.client,
		Self:    self,
		Secret:  s.base.settings.Tokens.Peers,
		Clock:   s.base.clock,
		Run: func(ctx context.Context, r request.Request) request.Result {
			return s.executor.Run(ctx, r, nil)
		},
	}
}

// Stop implements kernel.Service.
func (s *trafficService) Stop() {
	_ = s.listener.Close()
	s.server.Close()
	s.executor.Close()
	s.client.Close()
}

// Since implements peers.Backend.
func (s *trafficService) Since(from uint64) (config.Update, error) {
	return s.config.replica.Since(from)
}

// Bound implements peers.Backend.
func (s *trafficService) Bound(ctx context.Context, holder atmostonce.Holder, r request.Request) request.Result {
	s.base.ring.Add(timeline.Event{Kind: timeline.RequestForwarded, Request: r.ID, Detail: "bound to this instance"})
	return s.gate.HandleForwarded(ctx, holder, r)
}

// Status implements peers.Backend.
func (s *trafficService) Status() api.InstanceStatus {
	return api.InstanceStatus{
		Instance:      s.base.settings.Instance,
		FailureDomain: s.base.settings.FailureDomain,
		Incarnation:   s.base.incarnation,
		Revision:      s.control.View().Configuration.Revision(),
		Stopping:      s.base.stopping.Load(),
	}
}

// Ring implements peers.Backend.
func (s *trafficService) Ring() *timeline.Ring { return s.base.ring }

// callersService is the callers' face.
type callersService struct {
	traffic *trafficService
	face    *callers.Handler
	http    *httpFace
}

// Start implements kernel.Service.
func (s *callersService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var err error
	if s.traffic, err = kernel.Lookup[*trafficService](k, ServiceTraffic); err != nil {
		return err
	}
	b := s.traffic.base
	view := s.traffic.control.View
	s.face = callers.New(callers.Options{
		Runner:   s.traffic.executor,
		Gate:     s.traffic.gate,
		Pipeline: func(name string) *config.Pipeline { return view().Configuration.Pipeline(name) },
		Ready:    func() bool { return view().Confirmed },
		MaxBody:  b.settings.Limits.RequestBytes,
		Log:      b.logs.For("callers"),
	})
	s.http, err = startHTTP(t, b.logs.For("callers"), "callers", b.settings.Listen.Callers, s.face)
	return err
}

// Stop implements kernel.Service. It is the planned stop: the peers and the balancer
// are told, new requests are refused, and those in flight run to their end.
func (s *callersService) Stop() {
	b := s.traffic.base
	b.stopping.Store(true)
	b.ring.Add(timeline.Event{Kind: timeline.InstanceStopping})
	s.traffic.control.AnnounceLeaving()
	s.face.SetUnready()
	time.Sleep(leaveTime)
	s.face.RejectRequests()
	if err := s.http.stop(b.settings.Timings.StopGrace.Std()); err != nil {
		b.logs.For("callers").WithFields(logrus.Fields{"event": "stop_grace_over", "in_flight": s.traffic.executor.InFlight()}).Warn(err)
	}
	s.waitForBound(b)
}

// waitForBound waits for the requests that run without a caller's connection here:
// not-repeatable ones that a peer or a caller who went away has brought.
func (s *callersService) waitForBound(b *base) {
	end := b.clock.Now().Add(b.settings.Timings.StopGrace.Std())
	for s.traffic.executor.InFlight() > 0 && b.clock.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
}

// operatorsService is the operators' face.
type operatorsService struct{ http *httpFace }

// Start implements kernel.Service.
func (s *operatorsService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var trafficService *trafficService
	var peersService *peersService
	err := errors.Join(
		kernel.Find(k, ServiceTraffic, &trafficService),
		kernel.Find(k, ServicePeers, &peersService),
	)
	if err != nil {
		return err
	}
	b := trafficService.base
	path, handler := operators.New(operators.Options{
		Tokens:            b.settings.Tokens.Operators,
		Submitter:         trafficService.config.submitter,
		Replica:           trafficService.config.replica,
		Control:           trafficService.control.Control,
		PlatformReachable: trafficService.config.follower.ServiceReachable,
		OwnStatus:         trafficService.Status,
		SelectEvents: func(selection api.TimelineRequest) api.TimelineResponse {
			return peers.SelectEvents(b.ring, b.settings.Instance, selection)
		},
		Peers: peersService.client,
		Clock: b.clock,
		Ring:  b.ring,
		Log:   b.logs.For("operators"),
	})
	router := bunrouter.New()
	router.POST(path+"*procedure", bunrouter.HTTPHandler(handler))
	s.http, err = startHTTP(t, b.logs.For("operators"), "operators", b.settings.Listen.Operators, router)
	return err
}

// Stop implements kernel.Service.
func (s *operatorsService) Stop() { _ = s.http.stop(time.Second) }

// metricsService serves the metrics in Prometheus' text format.
type metricsService struct{ http *httpFace }

// Start implements kernel.Service.
func (s *metricsService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	b, err := lookupBase(k)
	if err != nil {
		return err
	}
	router := bunrouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		b.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		return nil
	})
	s.http, err = startHTTP(t, b.logs.For("metrics"), "metrics", b.settings.Listen.Metrics, router)
	return err
}

// Stop implements kernel.Service.
func (s *metricsService) Stop() { _ = s.http.stop(time.Second) }
