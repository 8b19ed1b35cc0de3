package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// usageLogPeriod is the time between two log lines about traffic from peers. At 400 instances these
// are 40 lines a second in all.
const usageLogPeriod = 10 * time.Second

// usageSnapshot is the state at the last log line. Only the sweeping goroutine uses it.
type usageSnapshot struct {
	at    time.Time
	bytes map[string]int64
}

// logUsage logs the bytes received from peers since the last log line, by purpose. With many
// instances they are a large part of the network traffic.
func (g *Gateway) logUsage(now time.Time) {
	if now.Sub(g.loggedUsage.at) < usageLogPeriod {
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
		if since := n - g.loggedUsage.bytes[kind]; since > 0 {
			fields[kind] = since
		}
	}
	g.loggedUsage = usageSnapshot{at: now, bytes: bytes}
	g.log.WithFields(fields).Info()
}
