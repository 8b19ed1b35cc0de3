package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// usagePeriod is the time between two lines that tell what came from peers: at 400 instances 40 lines
// a second over all.
const usagePeriod = 10 * time.Second

// toldUsage is what the last line told. It belongs to the goroutine that sweeps.
type toldUsage struct {
	at    time.Time
	bytes map[string]int64
}

// tellUsage logs, once a period, the bytes that came from peers since the line before, by what they are
// for: on a large fleet they are most of what the links carry beside requests.
func (g *Gateway) tellUsage(now time.Time) {
	if now.Sub(g.told.at) < usagePeriod {
		return
	}
	bytes := map[string]int64{}
	g.usage.Each(func(method string, direction peers.Direction, n, _ int64) {
		bytes[method+"."+string(direction)] = n
	})
	sent, received := g.gossip.Bytes()
	bytes["heartbeats.sent"], bytes["heartbeats.received"] = int64(sent), int64(received)
	fields := logrus.Fields{"event": "peer_bytes"}
	for kind, n := range bytes {
		if since := n - g.told.bytes[kind]; since > 0 {
			fields[kind] = since
		}
	}
	g.told = toldUsage{at: now, bytes: bytes}
	g.log.WithFields(fields).Info()
}
