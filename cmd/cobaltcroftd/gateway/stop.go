package gateway

import (
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// balancerDelay is how long the load balancer may keep sending new connections after readiness
	// is withdrawn: two failed checks, one second apart, and a margin.
	balancerDelay = 2800 * time.Millisecond
	// exitMargin is the time between the last answers and the end of the grace period.
	exitMargin = 400 * time.Millisecond
	// drainRatio is the fraction of the grace period after which requests that no endpoint is
	// working on are refused, because they would not finish.
	drainRatio = 0.75
	// lastAnswers limits the time in which the requests still in flight are answered before the exit.
	lastAnswers = 200 * time.Millisecond
	// drainPollPeriod is the polling period for work in flight.
	drainPollPeriod = 20 * time.Millisecond
	// idleTime is how long nothing must be in flight before the process exits.
	idleTime = 300 * time.Millisecond
)

// stopState records whether a graceful shutdown has begun.
type stopState struct{ flag atomic.Bool }

func (s *stopState) begin()      { s.flag.Store(true) }
func (s *stopState) begun() bool { return s.flag.Load() }

// stop shuts the instance down gracefully: it withdraws readiness, keeps serving while the load
// balancer may still send connections, then refuses new requests, and exits when nothing is in
// flight, including plans and tunnels of other instances, or the grace period ends. What is in flight then is
// answered, as far as it has no answer yet. A second signal other than SIGHUP ends the grace period at once.
func (g *Gateway) stop(signal os.Signal, signals <-chan os.Signal) {
	begin := g.clock.Now()
	g.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal.String(), "in_flight": g.ingress.InFlight()}).Info()
	g.stopping.begin()
	g.executor.StopStartWait()
	g.group.Leave()
	g.origins.Leave()
	g.ingress.DisableKeepAlives()
	end := begin.Add(g.settings.StopGrace() - exitMargin)
	drain := begin.Add(time.Duration(drainRatio * float64(g.settings.StopGrace())))
	ticker := g.clock.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	idleSince := begin
	for now := begin; now.Before(end); now = g.clock.Now() {
		if now.Sub(begin) >= balancerDelay {
			g.ingress.RejectRequests()
		}
		if now.After(drain) {
			g.executor.Drain()
		}
		g.router.Leave()
		if g.ingress.InFlight() > 0 || g.handler.RunningPlans() > 0 || g.tunnels.Open() > 0 {
			idleSince = now
		}
		if now.Sub(begin) >= balancerDelay+idleTime && now.Sub(idleSince) >= idleTime {
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
	g.answerRest()
	g.log.WithFields(logrus.Fields{"event": "stopped", "in_flight": g.ingress.InFlight(), "ms": g.clock.Since(begin).Milliseconds()}).Info()
	g.close()
}

// answerRest ends the requests that are in flight, and waits until their answers are written.
func (g *Gateway) answerRest() {
	if g.ingress.InFlight() == 0 {
		return
	}
	g.log.WithFields(logrus.Fields{"event": "stop_grace_over", "in_flight": g.ingress.InFlight()}).Warn()
	g.executor.Stop()
	for end := g.clock.Now().Add(lastAnswers); g.ingress.InFlight() > 0 && g.clock.Now().Before(end); {
		g.clock.Sleep(drainPollPeriod)
	}
	// A handler that has returned may still be writing what it buffered.
	g.clock.Sleep(drainPollPeriod)
}

func (g *Gateway) close() {
	g.tomb.Kill(nil)
	g.ingress.Close()
	for _, server := range g.servers {
		_ = server.Close()
	}
	_ = g.listeners.calls.Close()
	g.tunnels.Close()
	g.server.Close()
	g.client.Close()
	g.conns.Close()
	g.store.Close()
	g.gossip.Close()
	g.output.Close()
}
