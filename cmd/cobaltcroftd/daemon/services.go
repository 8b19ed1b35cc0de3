package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra/etcdkv"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra/httpsd"
	"github.com/cobaltcroft/cobaltcroft/pkg/kernel"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

var errStoppedAtOnce = problem.New(problem.Unavailable, "send one signal and wait for a planned stop", "stopped at once by a second signal; requests in flight were cut")

// Start implements kernel.Service.
func (b *base) Start(*kernel.Kernel, *tomb.Tomb) error {
	b.ring.Add(timeline.Event{Kind: timeline.InstanceStarted})
	return nil
}

// Stop implements kernel.Service.
func (b *base) Stop() {}

func lookupBase(k *kernel.Kernel) (*base, error) { return kernel.Lookup[*base](k, ServiceBase) }

// platformService holds the clients of the platform's services.
type platformService struct {
	keyValue *etcdkv.Client
	list     *httpsd.Client
}

// Start implements kernel.Service.
func (s *platformService) Start(k *kernel.Kernel, _ *tomb.Tomb) error {
	b, err := lookupBase(k)
	if err != nil {
		return err
	}
	timeout := b.settings.Platform.Timeout.Std()
	s.keyValue = etcdkv.New(b.settings.Platform.KeyValue, timeout)
	s.list = httpsd.New(b.settings.Platform.InstanceList, timeout)
	return nil
}

// Stop implements kernel.Service.
func (s *platformService) Stop() {
	s.keyValue.Close()
	s.list.Close()
}

// peersService holds the sockets of the peers' face. What is served on them is
// begun by the services that need it.
type peersService struct {
	udp      *net.UDPConn
	listener net.Listener
	client   *peers.Client
	gossip   *peers.Gossip
	self     membership.Instance
	// behind is set by the config service, which starts later.
	behind atomic.Pointer[func(membership.Instance)]
}

// Start implements kernel.Service.
func (s *peersService) Start(k *kernel.Kernel, _ *tomb.Tomb) error {
	b, err := lookupBase(k)
	if err != nil {
		return err
	}
	log := b.logs.For("peers")
	s.listener, s.udp, err = peers.Listen(b.settings.Listen.Peers)
	if err != nil {
		return err
	}
	s.self = membership.Instance{
		Name:          b.settings.Instance,
		Incarnation:   b.incarnation,
		FailureDomain: b.settings.FailureDomain,
		PeerAddress:   s.listener.Addr().String(),
	}
	logListening(log, "peers", s.self.PeerAddress)
	if advertised := b.settings.Advertise.Peers; advertised != "" {
		s.self.PeerAddress = advertised
	}
	s.client = peers.NewClient(b.settings.Instance, b.settings.Tokens.Peers, b.usage)
	s.gossip = peers.NewGossip(s.udp, b.settings.Tokens.Peers, b.ring.Clock(), b.shares, b.metrics, log, func(peer membership.Instance, _ uint64) {
		if behind := s.behind.Load(); behind != nil {
			(*behind)(peer)
		}
	})
	return nil
}

// Stop implements kernel.Service.
func (s *peersService) Stop() {
	_ = s.listener.Close()
	s.client.Close()
}

func logListening(log *logrus.Entry, face, address string) {
	log.WithFields(logrus.Fields{"event": "listening", "face": face, "address": address}).Info()
}

// controlService runs the control goroutine and what feeds it.
type controlService struct {
	*control.Control
	base   *base
	gossip *peers.Gossip
}

// Start implements kernel.Service.
func (s *controlService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var peersService *peersService
	var platformService *platformService
	err := errors.Join(
		kernel.Find(k, ServiceBase, &s.base),
		kernel.Find(k, ServicePeers, &peersService),
		kernel.Find(k, ServicePlatform, &platformService),
	)
	if err != nil {
		return err
	}
	b := s.base
	s.gossip = peersService.gossip
	s.Control = control.New(controlSettings(b.settings, peersService.self), peersService.gossip, b.clock, b.ring, b.logs.For("control"))
	t.Go(func() error { return s.Control.Run(t) })
	t.Go(func() error { return peersService.gossip.Run(t, s.Control) })
	t.Go(func() error { return s.readList(t, platformService.list) })
	return nil
}

func controlSettings(s settings.Settings, self membership.Instance) control.Settings {
	return control.Settings{
		FailureDomain: s.FailureDomain,
		Policy:        scheduling.Policy(s.Policy),
		MaxQueue:      s.Limits.QueuePerService,
		Seed:          rand.Uint64(),
		Self:          self,
		Contacts:      s.Peers,
		Heartbeat:     s.Timings.Heartbeat.Std(),
		SuspectAfter:  s.Timings.SuspectAfter.Std(),
	}
}

// readList reads the instance list again and again. A reading that fails changes
// nothing: the endpoints known stay.
func (s *controlService) readList(t *tomb.Tomb, list infra.InstanceList) error {
	ctx := t.Context(context.Background())
	reached := true
	for t.Alive() {
		listed, unchanged, err := list.List(ctx)
		if err == nil {
			s.UpdateInstanceList(listed, unchanged)
		}
		if ctx.Err() == nil && reached != (err == nil) {
			reached = err == nil
			s.noteList(err)
		}
		pause(ctx, s.base.settings.Timings.InstanceListPoll.Std())
	}
	return nil
}

// noteList records that the instance list is lost, or back if err is nil.
func (s *controlService) noteList(err error) {
	log := s.base.logs.For("platform")
	if err == nil {
		s.base.ring.Add(timeline.Event{Kind: timeline.PlatformBack, Detail: "instance list"})
		log.WithField("event", timeline.PlatformBack).Info("instance list")
		return
	}
	s.base.ring.Add(timeline.Event{Kind: timeline.PlatformLost, Detail: err.Error()})
	log.WithField("event", timeline.PlatformLost).Warn(err)
}

// Stop implements kernel.Service. The socket is closed so that its reader ends.
func (s *controlService) Stop() { s.gossip.Close() }

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configService keeps the configuration up to date and takes changes.
type configService struct {
	replica   *config.Replica
	submitter *config.Submitter
	follower  *config.Follower
}

// Start implements kernel.Service.
func (s *configService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var b *base
	var control *controlService
	var platformService *platformService
	var peersService *peersService
	err := errors.Join(
		kernel.Find(k, ServiceBase, &b),
		kernel.Find(k, ServiceControl, &control),
		kernel.Find(k, ServicePlatform, &platformService),
		kernel.Find(k, ServicePeers, &peersService),
	)
	if err != nil {
		return err
	}
	s.replica = config.NewReplica()
	s.replica.OnAdvance(control.Configure)
	store := config.NewStore(platformService.keyValue, s.replica)
	s.submitter = config.NewSubmitter(store)
	s.follower = config.NewFollower(followerOptions(b, control, peersService), store)
	behind := func(peer membership.Instance) { s.follower.SchedulePull(peerOf(peer)) }
	peersService.behind.Store(&behind)
	t.Go(func() error {
		s.submitter.Run(t.Context(context.Background()))
		return nil
	})
	s.follower.Run(t)
	return nil
}

func followerOptions(b *base, control *controlService, peersService *peersService) config.FollowerOptions {
	return config.FollowerOptions{
		Self:        peerOf(peersService.self),
		Peers:       func() []config.Peer { return livePeers(control.Members()) },
		Puller:      peersService.client,
		Timeout:     2 * b.settings.Platform.Timeout.Std(),
		AntiEntropy: b.settings.Timings.AntiEntropy.Std(),
		OnConfirmed: control.Confirm,
		Clock:       b.clock,
		Ring:        b.ring,
		Log:         b.logs.For("config"),
	}
}

func peerOf(m membership.Instance) config.Peer {
	return config.Peer{Name: m.Name, FailureDomain: m.FailureDomain, Address: m.PeerAddress}
}

func livePeers(members []membership.Member) []config.Peer {
	var live []config.Peer
	for _, m := range members {
		if m.State == membership.Live {
			live = append(live, peerOf(m.Instance))
		}
	}
	return live
}

// Stop implements kernel.Service.
func (s *configService) Stop() {}
