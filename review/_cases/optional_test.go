package cases

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

const (
	routeTimeout = 4 * time.Second
	// answerSlack is how long after the route's time-out an answer may still come.
	answerSlack = 500 * time.Millisecond
	// clientWait is how long the clients wait.
	clientWait = 8 * time.Second
)

// stageRoute returns a route whose requests need pieces.
func stageRoute(name string, since ...[]int) map[string]any {
	services := []string{"club-portal", "mediation-desk", "member-app", "member-app"}
	var stages []map[string]any
	for i, before := range since {
		if before == nil {
			before = []int{}
		}
		stages = append(stages, map[string]any{"Service": services[i], "SinceRev": before, "Bytes": 8000})
	}
	return map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": "/" + name + "/", "Kind": "stream", "TimeoutMs": routeTimeout.Milliseconds(), "SloMs": 2000, "ItlTargetMs": 400,
		"Priority": 1, "Service": "cobalt-llm", "MaxAttempts": 1, "Stages": stages, "Affinity": true, "StreamResume": false,
	}
}

// putStagedConfig writes a configuration with routes that need pieces.
func (s *stage) putStagedConfig(version int, routes ...map[string]any) {
	segments := func(name string, batch int, item float64) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 360, "Segments": map[string]any{
			"Slots": 1, "Queue": 2, "Batch": batch, "CallMs": 40.0, "ItemMs": item, "HeadroomMb": 14.0, "HandleS": 4.0, "LinkMbps": 10000,
		}}
	}
	s.store.Put("op/config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "cobalt-llm", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{"Slots": 64, "KvCapacity": 621758, "TokenKvBytes": 18432, "LinkMbps": 130000}},
			segments("club-portal", 12, 5), segments("mediation-desk", 42, 1), segments("member-app", 32, 1),
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "gym", "ApiKeys": []string{apiKey}}},
	})
	s.notef("the store has acknowledged version %d of the configuration", version)
}

// asked is one request with what became of it.
type asked struct {
	to     *gateway
	id     string
	status int
	took   time.Duration
}

// ask sends a request that needs pieces and waits for the answer.
func (s *stage) ask(to *gateway, route, id, pieces string) asked {
	began := time.Now()
	client := http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+to.requests+"/"+route+"/2f", bytes.NewReader([]byte(id)))
	if err != nil {
		return asked{to: to, id: id}
	}
	request.Host = hostName
	request.Header.Set("Cobaltcroft-Request-Id", id)
	request.Header.Set("Cobaltcroft-Deadline-Ms", strconv.FormatInt(clientWait.Milliseconds(), 10))
	request.Header.Set("Cobaltcroft-Model", "m")
	request.Header.Set("Cobaltcroft-Token-Count", "300,20")
	request.Header.Set("Cobaltcroft-Prefix-Hash", fmt.Sprintf("aa01:100,%x:200", id))
	request.Header.Set("Cobaltcroft-Pieces", pieces)
	request.Header.Set("Cobaltcroft-Piece-Key", fmt.Sprintf("%x", id))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	s.notef("a client sends %s on route %s with pieces %s to %s", id, route, pieces, to.name)
	response, err := client.Do(request)
	a := asked{to: to, id: id, took: time.Since(began)}
	if err != nil {
		s.notef("the client gets no answer to %s within %v: %v", id, a.took.Round(time.Millisecond), err)
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.took = time.Since(began)
	if err != nil {
		s.notef("the client gets half an answer to %s within %v: %v", id, a.took.Round(time.Millisecond), err)
		return a
	}
	a.status = response.StatusCode
	s.notef("the client gets %d to %s after %v, %d bytes: %.40q", a.status, id, a.took.Round(time.Millisecond), len(body), body)
	return a
}

// playOptionalStage: a new version of the configuration replaces a route by one whose last stage reads two
// others, one of which the clients leave out.
func playOptionalStage(s *stage) ([]string, error) {
	chain := stageRoute("brief", nil, []int{0}, []int{1})
	before := stageRoute("review", nil, nil, []int{1})
	s.putStagedConfig(10, chain, before)
	zones := []string{zoneA, zoneB, zoneC}
	var makers []*platformtest.Engine
	for n := range 3 {
		e, err := s.startEngine(fmt.Sprintf("i-%08x", 0x02d9e6b4+n), "cobalt-llm", zones[n], "4.1", 4, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		e.staged = true
		for _, service := range []string{"club-portal", "mediation-desk", "member-app"} {
			e, err := platformtest.NewEngine(platformtest.Settings{Kind: platformtest.Stage, Service: service, Zone: zones[n], ProcessingTime: 50 * time.Millisecond, Slots: 1})
			if err != nil {
				return nil, err
			}
			s.onClose(e.Close)
			s.store.Put("servers/"+e.ID, e.Entry("ready"))
			makers = append(makers, e)
		}
	}
	gateways, err := s.addGateways(zones...)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []asked
	round := func(name, route, pieces string, count int) {
		var group sync.WaitGroup
		for n := range count {
			group.Go(func() {
				a := s.ask(gateways[n%3], route, fmt.Sprintf("%s-%d", name, n), pieces)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			})
			time.Sleep(30 * time.Millisecond)
		}
		group.Wait()
	}
	round("first", "brief", "1,4,2", 9)
	round("second", "review", "0,1,2", 9)
	if s.trouble {
		after := stageRoute("review", nil, nil, []int{0, 1})
		after["Name"] = "review-2"
		s.putStagedConfig(11, chain, after)
		time.Sleep(2500 * time.Millisecond)
	}
	round("third", "review", "1,1,2", 9)
	round("fourth", "review", "0,1,2", 36)
	round("fifth", "brief", "1,4,2", 9)
	for _, g := range gateways {
		s.notef("%s holds %d descriptors", g.name, g.descriptors())
	}
	for _, e := range makers {
		for _, r := range e.Runs() {
			s.notef("%s of %s made piece %d of stage %d of %s from %d results", e.ID, e.Service, r.Piece, r.Stage, r.ID, len(r.Inputs))
		}
	}
	late, unanswered, sent, served := 0, 0, map[string]int{}, map[string]int{}
	for _, a := range all {
		name, _, _ := strings.Cut(a.id, "-")
		sent[name]++
		if a.status == http.StatusOK {
			served[name]++
		}
		if a.status == 0 || a.took > routeTimeout {
			late++
		}
		if a.status == 0 || a.took > routeTimeout+answerSlack {
			unanswered++
		}
	}
	s.notef("sent, by round: %v; served: %v; %d requests had no answer at the time-out of their route, %d of these none half a second later", sent, served, late, unanswered)
	if late >= 8 && 2*unanswered > late {
		return []string{fmt.Sprintf("CONFIG: of %d requests that had no answer when the TimeoutMs of their route was reached, %d were still unanswered half a second later", late, unanswered)}, nil
	}
	return nil, nil
}
