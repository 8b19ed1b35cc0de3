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

// Gossip sends and receives heartbeats over UDP for the control service.
type Gossip struct {
	conn     *net.UDPConn
	secret   []byte
	clock    *timeline.Clock
	shares   *ratelimit.Splitter
	log      *logrus.Entry
	onBehind func(peer membership.Instance, revision uint64)
	sent     *metrics.Counter
	received *metrics.Counter
	refused  *metrics.Counter
}

var _ control.Peers = (*Gossip)(nil)

// NewGossip returns a gossip over conn. Heartbeats carry the demands of shares, which also receives
// the demands of peers in the same failure domain. onBehind is called when a peer has a newer
// configuration, and must not block.
func NewGossip(conn *net.UDPConn, secret string, clock *timeline.Clock, shares *ratelimit.Splitter, set *metrics.Set, log *logrus.Entry, onBehind func(membership.Instance, uint64)) *Gossip {
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

// Bytes returns the number of heartbeat bytes sent and received.
func (g *Gossip) Bytes() (sent, received uint64) { return g.sent.Get(), g.received.Get() }

// Broadcast implements control.Peers.
func (g *Gossip) Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string) {
	data, err := encode(datagram{heartbeat: h, leaving: leaving, demands: g.shares.Demands(), stamp: g.clock.Now()}, g.secret)
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
	// Heartbeats are periodic, so a failed write is treated like a lost datagram.
	n, _ := g.conn.WriteToUDPAddrPort(data, target)
	g.sent.Add(n)
}

// NotifyBehind implements control.Peers.
func (g *Gossip) NotifyBehind(peer membership.Instance, revision uint64) { g.onBehind(peer, revision) }

// Listener receives heartbeats.
type Listener interface {
	// Self is this instance.
	Self() membership.Instance
	// Heard is called for each heartbeat. It must not block for long.
	Heard(h membership.Heartbeat, leaving []control.LeavingEndpoint)
}

// Run passes received heartbeats to a listener until t is dying or the socket is closed.
func (g *Gossip) Run(t *tomb.Tomb, listener Listener) error {
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
		if b.heartbeat.From.FailureDomain == listener.Self().FailureDomain {
			g.shares.SetPeerDemands(b.heartbeat.From.Name, b.demands)
		}
		listener.Heard(b.heartbeat, b.leaving)
	}
}

// Close closes the socket, which ends Run.
func (g *Gossip) Close() { _ = g.conn.Close() }
