package gateway

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/platform"
)

// maySend is the gate of all calls to endpoints, requests, pieces, reports and frees alike: one that wants
// rest from this machine gets none.
func (g *Gateway) maySend(target httpconn.Target) error {
	left := g.rests.Left(target.ID)
	if left == 0 {
		return nil
	}
	return problem.New(problem.Overloaded, "use another endpoint, or this one after that time", "endpoint %s wants %v of rest from this machine", target.ID, left)
}

// heardAnswer takes in what the head of an answer says of its endpoint.
func (g *Gateway) heardAnswer(target httpconn.Target, status int, h http.Header) {
	n := platform.Notice(status, h)
	if n.Leaving {
		g.follower.Depart(discovery.Answer, target.ID)
	}
	if n.Rest > 0 {
		g.rests.Ask(target.ID, n.Rest)
	}
	if n.Unread != "" {
		g.unread.Inc()
		g.log.WithFields(logrus.Fields{"event": "notice_unread", "endpoint": target.ID, "status": status, "retry_after": n.Unread}).Warn("it is passed over; seconds are expected")
	}
}

// heeded is what one endpoint's life said in its answers, as far as it is heeded.
type heeded struct {
	Endpoint string `json:"endpoint"`
	// Leaving: it gets no new work for as long as it lives.
	Leaving bool `json:"leaving,omitempty"`
	// RestMs is how much longer it wants nothing from this machine, in milliseconds.
	RestMs int64 `json:"rest_ms,omitempty"`
}

func (g *Gateway) listNotices(w http.ResponseWriter, _ bunrouter.Request) error {
	view := g.follower.View()
	list := []heeded{}
	for _, life := range view.Fleet.Departed() {
		list = append(list, heeded{Endpoint: life, Leaving: true})
	}
	rests := g.rests.List()
	for _, life := range slices.Sorted(maps.Keys(rests)) {
		list = append(list, heeded{Endpoint: life, RestMs: rests[life].Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
