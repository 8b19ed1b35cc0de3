package daemon

import (
	"context"
	"errors"

	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/kernel"
	"github.com/cobaltcroft/cobaltcroft/pkg/lease"
	"github.com/cobaltcroft/cobaltcroft/pkg/placement"
)

// leaseKeyPrefix precedes the failure domain in the key of its placement lease.
const leaseKeyPrefix = "cobaltcroft/placement/"

// placementService gives the endpoints of its failure domain their models, while this
// instance holds the domain's lease.
type placementService struct {
	base    *base
	control *controlService
	traffic *trafficService
	keeper  *lease.Keeper
}

// Start implements kernel.Service.
func (s *placementService) Start(k *kernel.Kernel, t *tomb.Tomb) error {
	var platformService *platformService
	var configService *configService
	err := errors.Join(
		kernel.Find(k, ServiceBase, &s.base),
		kernel.Find(k, ServiceControl, &s.control),
		kernel.Find(k, ServiceTraffic, &s.traffic),
		kernel.Find(k, ServiceConfig, &configService),
		kernel.Find(k, ServicePlatform, &platformService),
	)
	if err != nil {
		return err
	}
	p := s.base.settings.Placement
	log := s.base.logs.For("placement")
	// Only the domain's watchers try for the lease, so that the tries do not grow
	// with the domain; and only while there is something to place.
	wanted := func() bool { return len(s.placements()) > 0 && configService.follower.IsWatcher() }
	s.keeper = lease.NewKeeper(platformService.keyValue, s.base.clock, log, leaseKeyPrefix+s.base.settings.FailureDomain, s.base.settings.Instance, p.Lease.Std(), wanted)
	runner := placement.NewRunner(placement.Options{
		Lease:          s.keeper,
		Engine:         s.traffic.client,
		Endpoints:      s.endpoints,
		Placements:     s.placements,
		Period:         p.Period.Std(),
		OrderTimeout:   p.OrderTimeout.Std(),
		LoadsPerMinute: p.LoadsPerMinute,
		Clock:          s.base.clock,
		Ring:           s.base.ring,
		Log:            log,
	})
	ctx := t.Context(context.Background())
	t.Go(func() error {
		s.keeper.Run(ctx)
		return nil
	})
	t.Go(func() error {
		runner.Run(ctx)
		return nil
	})
	return nil
}

// Stop implements kernel.Service. The lease is given up when the keeper ends.
func (s *placementService) Stop() {}

func (s *placementService) placements() []*config.Placement {
	return s.control.View().Configuration.Placements()
}

// endpoints returns the live endpoints of the own failure domain.
func (s *placementService) endpoints() []placement.EndpointState {
	var observed []placement.EndpointState
	for service, pool := range s.control.View().Pools {
		for _, e := range pool.Statuses() {
			if e.Leaving || e.FailureDomain != s.base.settings.FailureDomain {
				continue
			}
			observed = append(observed, placement.EndpointState{Endpoint: e.Name, Address: e.Address, Service: service, ChecksTokens: e.ChecksTokens})
		}
	}
	return observed
}
