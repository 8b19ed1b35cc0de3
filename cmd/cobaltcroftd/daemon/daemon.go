// Package daemon puts the services of one entry instance together.
package daemon

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/kernel"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// The names of the services, by which they find each other.
const (
	ServiceBase      = "base"
	ServicePlatform  = "platform"
	ServicePeers     = "peers"
	ServiceControl   = "control"
	ServiceConfig    = "config"
	ServiceTraffic   = "traffic"
	ServiceCallers   = "callers"
	ServiceOperators = "operators"
	ServiceMetrics   = "metrics"
	ServicePlacement = "placement"
)

// Daemon is one entry instance.
type Daemon struct {
	kernel *kernel.Kernel
	log    *logrus.Entry
}

// base is what all services need: settings, clock, logs, metrics and time line.
type base struct {
	settings    settings.Settings
	clock       clockwork.Clock
	logs        *logging.Logs
	metrics     *metrics.Set
	usage       *peers.Usage
	ring        *timeline.Ring
	shares      *ratelimit.Splitter
	incarnation uint64
	stopping    atomic.Bool
}

// New returns an instance that logs to out.
func New(s settings.Settings, out io.Writer) (*Daemon, error) {
	logs, err := logging.New(out, s.Log)
	if err != nil {
		return nil, err
	}
	clock := clockwork.NewRealClock()
	set := metrics.NewSet()
	b := &base{
		settings:    s,
		clock:       clock,
		logs:        logs,
		metrics:     set,
		usage:       peers.NewUsage(set),
		ring:        timeline.NewRing(s.Instance, timeline.NewClock(clock), timeline.DefaultCapacity),
		shares:      ratelimit.NewSplitter(clock),
		incarnation: uint64(clock.Now().UnixNano()),
	}
	d := &Daemon{kernel: kernel.New(), log: logs.For("daemon")}
	return d, d.register(b)
}

// register adds the services. A new one is added here alone.
func (d *Daemon) register(b *base) error {
	services := []struct {
		name    string
		service kernel.Service
		needs   []string
	}{
		{ServiceBase, b, nil},
		{ServicePlatform, &platformService{}, []string{ServiceBase}},
		{ServicePeers, &peersService{}, []string{ServiceBase}},
		{ServiceControl, &controlService{}, []string{ServiceBase, ServicePlatform, ServicePeers}},
		{ServiceConfig, &configService{}, []string{ServiceBase, ServicePlatform, ServicePeers, ServiceControl}},
		{ServiceTraffic, &trafficService{}, []string{ServiceBase, ServicePlatform, ServicePeers, ServiceControl, ServiceConfig}},
		{ServicePlacement, &placementService{}, []string{ServiceTraffic}},
		{ServiceCallers, &callersService{}, []string{ServiceTraffic, ServiceOperators, ServiceMetrics, ServicePlacement}},
		{ServiceOperators, &operatorsService{}, []string{ServiceTraffic, ServicePeers}},
		{ServiceMetrics, &metricsService{}, []string{ServiceBase}},
	}
	for _, s := range services {
		if err := d.kernel.Register(s.name, s.service, s.needs...); err != nil {
			return err
		}
	}
	return nil
}

// Run starts the instance and runs it until a signal comes or a service dies. On the
// first signal it stops as planned: requests in flight go on to their end. A second
// one ends it at once.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	if err := d.kernel.Start(); err != nil {
		return err
	}
	d.log.WithField("event", "started").Info()
	var cause error
	select {
	case signal := <-signals:
		d.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal.String()}).Info()
	case cause = <-d.kernel.Died():
		d.log.WithField("event", "service_died").Error(cause)
	}
	stopped := make(chan struct{})
	go func() {
		d.kernel.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case signal := <-signals:
		d.log.WithFields(logrus.Fields{"event": "stopped_at_once", "signal": signal.String()}).Warn()
		return errStoppedAtOnce
	}
	d.log.WithField("event", "stopped").Info()
	return cause
}

// leaveTime is how long a stopping instance waits, after it has told its peers and
// the balancer, before it refuses new requests.
const leaveTime = 300 * time.Millisecond
