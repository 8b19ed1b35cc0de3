package gateway_test

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// newerPeer is a peer that announces a newer configuration in its heartbeats but does not provide
// it.
type newerPeer struct {
	gossip    *peers.Gossip
	heartbeat membership.Heartbeat
	to        string
}

func startNewerPeer(to string, revision uint64) *newerPeer {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	clock := clockwork.NewRealClock()
	gossip := peers.NewGossip(conn, "a shared token", timeline.NewClock(clock), ratelimit.NewSplitter(clock), metrics.NewSet(), logging.Discard().For("peers"), nil)
	DeferCleanup(gossip.Close)
	self := membership.Instance{Name: "teller", Incarnation: 1, FailureDomain: "zone-a", PeerAddress: conn.LocalAddr().String()}
	return &newerPeer{gossip: gossip, heartbeat: membership.Heartbeat{From: self, Revision: revision}, to: to}
}

func (t *newerPeer) sendHeartbeat() {
	t.heartbeat.Sequence++
	t.gossip.Broadcast(t.heartbeat, nil, []string{t.to})
}

var _ = Describe("an instance that lacks a configuration which others have", func() {
	It("refuses as not run, and is not ready, until they fall silent", func() {
		deployment := deploy(1)
		i := start(deployment.Address())
		status := func() int {
			_, a := i.ask("repeat")
			return a.Status
		}
		Expect(status()).To(Equal(http.StatusOK))
		peer := startNewerPeer(i.Peers, 1_000_000)
		Eventually(func() int { peer.sendHeartbeat(); return status() }).Should(Equal(http.StatusServiceUnavailable))
		Expect(i.ready()).To(BeFalse())
		id, refused := i.ask("repeat")
		Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(refused.Body).To(ContainSubstring("newest configuration"))
		Expect(deployment.Runs("simple", id)).To(BeEmpty())
		Eventually(status).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		Expect(i.ready()).To(BeTrue())
	})
})
