package peers

import (
	"errors"
	"net"
	"net/netip"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
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
	// onOrigins receives the origins of streams. Optional.
	onOrigins   func([]origin.Record)
	originsSent *metrics.Counter
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

		originsSent: set.NewCounter("cobaltcroft_stream_origin_bytes_total"),
	}
}

// OnOrigins sets the receiver of the origins of streams. It must be called before Run, and the receiver
// must not block.
func (g *Gossip) OnOrigins(receive func([]origin.Record)) { g.onOrigins = receive }

// SendOrigins sends the origins of streams to an instance. They may be lost.
func (g *Gossip) SendOrigins(address string, records []origin.Record) {
	for part := range slices.Chunk(records, maxOrigins) {
		data, err := encodeOrigins(part, g.secret)
		if err != nil {
			g.log.WithField("event", "stream_origins_not_encoded").Error(err)
			return
		}
		g.originsSent.Add(g.send(data, address))
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
		g.sent.Add(g.send(data, address))
	}
}

// send sends a datagram and returns the number of bytes sent.
func (g *Gossip) send(data []byte, address string) int {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "bad_peer_address", "address": address}).Warn(err)
		return 0
	}
	// Each datagram may be lost, so a failed write is treated like that.
	n, _ := g.conn.WriteToUDPAddrPort(data, target)
	return n
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
		b, err := decode(buffer[:n], g.secret)
		if err != nil {
			g.receiveOther(buffer[:n], from, err)
			continue
		}
		g.received.Add(n)
		g.clock.Observe(b.stamp)
		if b.heartbeat.From.FailureDomain == listener.Self().FailureDomain {
			g.shares.SetPeerDemands(b.heartbeat.From.Name, b.demands)
		}
		listener.Heard(b.heartbeat, b.leaving)
	}
}

// receiveOther processes a datagram that is not a heartbeat for the given reason.
func (g *Gossip) receiveOther(data []byte, from netip.AddrPort, reason error) {
	if records, ok := decodeOrigins(data, g.secret); ok {
		if g.onOrigins != nil {
			g.onOrigins(records)
		}
		return
	}
	g.received.Add(len(data))
	g.refused.Inc()
	g.log.WithFields(logrus.Fields{"event": "heartbeat_refused", "from": from.String()}).Debug(reason)
}

// Close closes the socket, which ends Run.
func (g *Gossip) Close() { _ = g.conn.Close() }
