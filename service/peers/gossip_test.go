package peers

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

type discardListener struct{}

func (discardListener) Self() membership.Instance                             { return membership.Instance{} }
func (discardListener) Heard(membership.Heartbeat, []control.LeavingEndpoint) {}

// A read loop that continues after its socket is closed would spin.
func TestRunEndsWithItsSocketThoughItsTombLives(t *testing.T) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	g := NewGossip(conn, "a shared token", timeline.NewClock(clock), ratelimit.NewSplitter(clock), metrics.NewSet(), logging.Discard().For("peers"), nil)
	var alive tomb.Tomb
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = g.Run(&alive, discardListener{})
	}()
	g.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the read loop did not end")
	}
}
