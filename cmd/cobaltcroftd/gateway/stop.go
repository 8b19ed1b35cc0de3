package gateway

import (
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// balancerTime is how long the balancer may go on sending new connections after
	// readiness has been withdrawn: two missed questions, a second apart, and slack.
	balancerTime = 2800 * time.Millisecond
	// exitSlack is how long before the end of the grace time the process exits.
	exitSlack = 400 * time.Millisecond
	// drainPart is the part of the grace time after which requests are refused that no
	// endpoint works on: they would not be done before its end.
	drainPart = 0.75
	// drainPoll is the time between looks at what is still under way.
	drainPoll = 20 * time.Millisecond
	// quietTime is how long nothing must be under way before the process exits.
	quietTime = 300 * time.Millisecond
)

// stopState tells whether a planned stop has begun.
type stopState struct{ flag atomic.Bool }

func (s *stopState) begin()      { s.flag.Store(true) }
func (s *stopState) begun() bool { return s.flag.Load() }

// stop ends the instance as planned: it withdraws readiness, serves on while the balancer
// may still send connections, then refuses new requests, and exits when nothing is under
// way, of other instances' plans either, or the grace time is over. A second signal ends it at once, but for SIGHUP.
func (g *Gateway) stop(signal os.Signal, signals <-chan os.Signal) {
	begin := g.clock.Now()
	g.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal.String(), "in_flight": g.face.InFlight()}).Info()
	g.stopping.begin()
	g.group.Leave()
	g.face.Leave()
	end := begin.Add(g.settings.StopGrace() - exitSlack)
	drain := begin.Add(time.Duration(drainPart * float64(g.settings.StopGrace())))
	ticker := g.clock.NewTicker(drainPoll)
	defer ticker.Stop()
	quietSince := begin
	for now := begin; now.Before(end); now = g.clock.Now() {
		if now.Sub(begin) >= balancerTime {
			g.face.Refuse()
		}
		if now.After(drain) {
			g.executor.Drain()
		}
		g.router.Leave()
		if g.face.InFlight() > 0 || g.handler.RunningPlans() > 0 {
			quietSince = now
		}
		if now.Sub(begin) >= balancerTime+quietTime && now.Sub(quietSince) >= quietTime {
			break
		}
		select {
		case <-ticker.Chan():
		case s := <-signals:
			if s != syscall.SIGHUP {
				end = now
			}
		}
	}
	g.log.WithFields(logrus.Fields{"event": "stopped", "in_flight": g.face.InFlight(), "ms": g.clock.Since(begin).Milliseconds()}).Info()
	g.close()
}

func (g *Gateway) close() {
	g.tomb.Kill(nil)
	g.face.Close()
	_ = g.listeners.peers.Close()
	g.server.Close()
	g.client.Close()
	g.conns.Close()
	g.store.Close()
	g.gossip.Close()
	g.output.Close()
}
