package peers

import (
	"errors"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

// Gossip sends and receives heartbeats over UDP. It is the control service's way
// to its peers.
type Gossip struct {
	conn     *net.UDPConn
	secret   []byte
	clock    *timeline.Clock
	shares   *ratelimit.Splitter
	log      *logrus.Entry
	onBehind func(peer membership.Self, revision uint64)
	sent     *metrics.Counter
	received *metrics.Counter
	refused  *metrics.Counter
}

var _ control.Peers = (*Gossip)(nil)

// NewGossip returns a gossip over conn, which tells the demands of shares and takes in
// those of the own failure domain. onBehind is called, and must not block, when
// a peer has a newer configuration.
func NewGossip(conn *net.UDPConn, secret string, clock *timeline.Clock, shares *ratelimit.Splitter, set *metrics.Set, log *logrus.Entry, onBehind func(membership.Self, uint64)) *Gossip {
	return &Gossip{
		conn:     conn,
		secret:   []byte(secret),
		clock:    clock,
		shares:   shares,
		log:      log,
		onBehind: onBehind,
		sent:     set.NewCounter(`cobaltcroft_heartbeat_bytes_total{direction="sent"}`),
		received: set.NewCounter(`cobaltcroft_heartbeat_bytes_total{direction="received"}`),
		refused:  set.NewCounter("cobaltcroft_heartbeats_refused_total"),
	}
}

// Bytes returns how many bytes of heartbeats were sent and received.
func (g *Gossip) Bytes() (sent, received uint64) { return g.sent.Get(), g.received.Get() }

// Broadcast implements control.Peers.
func (g *Gossip) Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string) {
	data, err := encode(beat{heartbeat: h, leaving: leaving, demands: g.shares.Demands(), stamp: g.clock.Now()}, g.secret)
	if err != nil {
		g.log.WithField("event", "heartbeat_not_encoded").Error(err)
		return
	}
	for _, address := range to {
		g.send(data, address)
	}
}

func (g *Gossip) send(data []byte, address string) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "bad_peer_address", "address": address}).Warn(err)
		return
	}
	// A datagram that can't be sent is as good as lost.
	n, _ := g.conn.WriteToUDPAddrPort(data, target)
	g.sent.Add(n)
}

// NotifyBehind implements control.Peers.
func (g *Gossip) NotifyBehind(peer membership.Self, revision uint64) { g.onBehind(peer, revision) }

// Listener takes received heartbeats.
type Listener interface {
	// Self is this instance.
	Self() membership.Self
	// Heard is called with each heartbeat and must not block for long.
	Heard(h membership.Heartbeat, leaving []control.LeavingEndpoint)
}

// Run gives received heartbeats to a listener until t dies or the gossip is closed.
func (g *Gossip) Run(t *tomb.Tomb, c Listener) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if !t.Alive() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		g.received.Add(n)
		b, err := decode(buffer[:n], g.secret)
		if err != nil {
			g.refused.Inc()
			g.log.WithFields(logrus.Fields{"event": "heartbeat_refused", "from": from.String()}).Debug(err)
			continue
		}
		g.clock.Observe(b.stamp)
		if b.heartbeat.From.FailureDomain == c.Self().FailureDomain {
			g.shares.SetPeerDemands(b.heartbeat.From.Name, b.demands)
		}
		c.Heard(b.heartbeat, b.leaving)
	}
}

// Close ends Run.
func (g *Gossip) Close() { _ = g.conn.Close() }
