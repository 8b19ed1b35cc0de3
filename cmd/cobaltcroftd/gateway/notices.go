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
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/room"
	"github.com/cobaltcroft/cobaltcroft/platform"
)

// checkBackoff rejects calls to an endpoint that asked this machine to back off.
func (g *Gateway) checkBackoff(target httpconn.Target) error {
	left := g.backoffs.Remaining(target.ID)
	if left == 0 {
		return nil
	}
	return problem.New(problem.Overloaded, "use another endpoint, or retry after the backoff", "endpoint %s asked this machine to back off for %v", target.ID, left)
}

// takePermit takes a permit for a call to an endpoint with a rate limit.
func (g *Gateway) takePermit(target httpconn.Target) error {
	if g.permits.Allow(target.ID) {
		return nil
	}
	return problem.New(problem.Overloaded, "use another endpoint", "endpoint %s has reached its rate limit for all instances", target.ID)
}

// domainOf returns the failure domain of an endpoint's incarnation, or an empty string if unknown.
func (g *Gateway) domainOf(incarnation string) string {
	e, _ := g.follower.View().Fleet.Endpoint(incarnation)
	return e.FailureDomain
}

// observeResponse processes the notices in the header of an endpoint's response.
func (g *Gateway) observeResponse(target httpconn.Target, uri string, status int, h http.Header) {
	g.logUnknownTerms(target, h)
	n := platform.ParseNotice(uri, status, h)
	if n.Leaving {
		g.follower.MarkDeparting(discovery.FromResponse, target.ID)
	}
	if n.Backoff > 0 {
		g.backoffs.Start(target.ID, n.Backoff)
	}
	said := platform.ParseRoom(uri, status, h)
	g.observeRoom(target, said, n.Backoff > 0)
	g.logUnread(target, status, n.Malformed)
	g.logUnread(target, status, said.Malformed)
	switch {
	case n.Limited:
		g.rateLimits.Set(target.ID, n.Limit)
	case n.Unlimited:
		g.rateLimits.Clear(target.ID)
	}
}

// logUnread counts and logs a notice that could not be parsed, if there was one.
func (g *Gateway) logUnread(target httpconn.Target, status int, text string) {
	if text == "" {
		return
	}
	g.unreadNotices.Inc()
	g.log.WithFields(logrus.Fields{"event": "notice_unread", "endpoint": target.ID, "status": status, "text": text}).Warn("ignoring the notice; a backoff is in seconds, a limit in requests per second, rejections are a whole number")
}

// observeRoom processes what a response says of the endpoint's room. A brittle endpoint that has
// rejected a call gets no others from this instance for a while, unless it named a time itself.
func (g *Gateway) observeRoom(target httpconn.Target, r notice.Room, backingOff bool) {
	if !r.Brittle && g.room.Count() == 0 {
		return
	}
	e, found := g.follower.View().Fleet.Endpoint(target.ID)
	switch {
	case !found:
	case r.Brittle:
		g.room.SetBrittle(e.Service, e.ID, r.Bears)
		if r.Rejected && !backingOff {
			g.backoffs.Start(e.ID, g.room.Rest(e.Service, e.ID))
		}
	case r.Sound:
		g.room.SetSound(e.Service, e.ID)
	}
}

// roomGroup implements room.Group.
type roomGroup struct{ *Gateway }

var _ room.Group = roomGroup{}

// Self implements room.Group.
func (g roomGroup) Self() string { return g.settings.Instance }

// Others implements room.Group.
func (g roomGroup) Others() []string {
	var names []string
	for _, m := range slices.Concat(g.group.Live(), g.group.Leaving()) {
		names = append(names, m.Name)
	}
	return names
}

// Settled implements room.Group.
func (g roomGroup) Settled() bool { return g.clock.Since(g.started) >= suspectAfter }

// logUnknownTerms logs response terms that the gateway does not implement, each once.
func (g *Gateway) logUnknownTerms(target httpconn.Target, h http.Header) {
	g.logTermsOnce(h, platform.UnknownHeaders(h), logrus.Fields{"event": "answer_term_unknown", "endpoint": target.ID})
}

// logUnknownStoreTerms is logUnknownTerms for the store's responses.
func (g *Gateway) logUnknownStoreTerms(h http.Header) {
	g.logTermsOnce(h, platform.UnknownStoreHeaders(h), logrus.Fields{"event": "store_term_unknown"})
}

func (g *Gateway) logTermsOnce(h http.Header, terms []string, fields logrus.Fields) {
	for _, term := range terms {
		if _, logged := g.unknownTerms.LoadOrStore(term, true); !logged {
			g.log.WithFields(fields).WithFields(logrus.Fields{"term": term, "value": h.Get(term)}).Warn("response term is not implemented; see the platform documentation")
		}
	}
}

// noticeStatus is the effect of the notices of one endpoint.
type noticeStatus struct {
	Endpoint string `json:"endpoint"`
	// Leaving: the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the rate limit in requests per second for all instances together, or nil.
	Limit *float64 `json:"limit,omitempty"`
	// RestMs is the remaining backoff for this machine in milliseconds.
	RestMs int64 `json:"rest_ms,omitempty"`
}

func (g *Gateway) listNotices(w http.ResponseWriter, _ bunrouter.Request) error {
	view := g.follower.View()
	list := []noticeStatus{}
	for _, incarnation := range view.Fleet.Departed() {
		list = append(list, noticeStatus{Endpoint: incarnation, Leaving: true})
	}
	limits := g.rateLimits.List()
	for _, incarnation := range slices.Sorted(maps.Keys(limits)) {
		perSecond := limits[incarnation]
		list = append(list, noticeStatus{Endpoint: incarnation, Limit: &perSecond})
	}
	rests := g.backoffs.List()
	for _, incarnation := range slices.Sorted(maps.Keys(rests)) {
		list = append(list, noticeStatus{Endpoint: incarnation, RestMs: rests[incarnation].Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
