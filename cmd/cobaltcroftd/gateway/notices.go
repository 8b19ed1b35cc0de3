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

// spend counts a call to an endpoint that takes only so much from all instances together.
func (g *Gateway) spend(target httpconn.Target) error {
	if g.permits.Spend(target.ID) {
		return nil
	}
	return problem.New(problem.Overloaded, "use another endpoint", "endpoint %s takes only so much from all instances together, and another call was faster", target.ID)
}

// domainOf returns the failure domain of an endpoint's life; empty: it is not known.
func (g *Gateway) domainOf(life string) string {
	e, _ := g.follower.View().Fleet.Endpoint(life)
	return e.FailureDomain
}

// heardAnswer takes in what the head of an answer says of its endpoint.
func (g *Gateway) heardAnswer(target httpconn.Target, uri string, status int, h http.Header) {
	g.tellUnknown(target, h)
	n := platform.Notice(uri, status, h)
	if n.Leaving {
		g.follower.MarkDeparting(discovery.FromResponse, target.ID)
	}
	if n.Rest > 0 {
		g.rests.Ask(target.ID, n.Rest)
	}
	if n.Unread != "" {
		g.unread.Inc()
		g.log.WithFields(logrus.Fields{"event": "notice_unread", "endpoint": target.ID, "status": status, "text": n.Unread}).Warn("it is passed over; a rest is in seconds, a limit in requests a second")
	}
	switch {
	case n.Limited:
		g.limited.Name(target.ID, n.Limit)
	case n.Unlimited:
		g.limited.Lift(target.ID)
	}
}

// tellUnknown logs the terms of an answer that nothing here reads, each once: otherwise a new one on the platform's
// pages is overlooked in silence.
func (g *Gateway) tellUnknown(target httpconn.Target, h http.Header) {
	for _, term := range platform.UnknownTerms(h) {
		if _, told := g.unknownTerms.LoadOrStore(term, true); !told {
			g.log.WithFields(logrus.Fields{"event": "answer_term_unknown", "endpoint": target.ID, "term": term}).Warn("nothing here reads it; see the platform's pages for what it asks")
		}
	}
}

// heeded is what one endpoint's life said in its answers, as far as it is heeded.
type heeded struct {
	Endpoint string `json:"endpoint"`
	// Leaving: it gets no new work for as long as it lives.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is how many requests a second it takes from all instances together; nil: it names no limit.
	Limit *float64 `json:"limit,omitempty"`
	// RestMs is how much longer it wants nothing from this machine, in milliseconds.
	RestMs int64 `json:"rest_ms,omitempty"`
}

func (g *Gateway) listNotices(w http.ResponseWriter, _ bunrouter.Request) error {
	view := g.follower.View()
	list := []heeded{}
	for _, life := range view.Fleet.Departed() {
		list = append(list, heeded{Endpoint: life, Leaving: true})
	}
	limits := g.limited.List()
	for _, life := range slices.Sorted(maps.Keys(limits)) {
		perSecond := limits[life]
		list = append(list, heeded{Endpoint: life, Limit: &perSecond})
	}
	rests := g.rests.List()
	for _, life := range slices.Sorted(maps.Keys(rests)) {
		list = append(list, heeded{Endpoint: life, RestMs: rests[life].Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
