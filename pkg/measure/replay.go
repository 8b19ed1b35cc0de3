package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1/cobaltcroftv1connect"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// settleTime is the pause after a trace, for what still runs to end.
	settleTime = 300 * time.Millisecond
	// startTimeout bounds the wait until a set of processes serves.
	startTimeout = 20 * time.Second
	// lateAllowance is how much later than its deadline an answer may reach the
	// caller: the way back.
	lateAllowance = 20 * time.Millisecond
)

// Player replays traces against one set of processes.
type Player struct {
	Fleet  trace.Fleet
	Setup  Setup
	client *http.Client
}

// NewPlayer returns a player.
func NewPlayer(fleet trace.Fleet, setup Setup) *Player {
	return &Player{Fleet: fleet, Setup: setup, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// Start configures the instances and waits until each serves each pipeline.
func (p *Player) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.configure(ctx); err != nil {
		return err
	}
	var group errgroup.Group
	for i := range p.Setup.Callers {
		for _, pipeline := range p.Fleet.Pipelines {
			group.Go(func() error { return p.warm(ctx, i, pipeline.Name) })
		}
	}
	return group.Wait()
}

func (p *Player) configure(ctx context.Context) error {
	req := connect.NewRequest(&pb.ApplyRequest{ChangeId: "measure", Author: "measure"})
	req.Header().Set("Authorization", "Bearer "+operatorsToken)
	for _, object := range p.Fleet.Objects() {
		op := &pb.Operation{Action: &pb.Operation_Put{Put: convert.Object(config.StoredObject{Object: object})}}
		req.Msg.Operations = append(req.Msg.Operations, op)
	}
	client := cobaltcroftv1connect.NewOperatorsClient(p.client, "http://"+p.Setup.Operators[0])
	for {
		_, err := client.Apply(ctx, req)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return problem.Wrap(err, problem.Unavailable, "start the processes of the layout first", "instance %s takes no configuration", p.Setup.Operators[0])
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// warmCalls is how many requests are answered one after the other before measuring,
// so that each instance knows how long calls usually take.
const warmCalls = 12

func (p *Player) warm(ctx context.Context, instance int, pipeline string) error {
	for answered := 0; answered < warmCalls; {
		if ctx.Err() != nil {
			return problem.New(problem.Unavailable, "see the logs of the processes", "instance %s does not answer", p.Setup.Callers[instance])
		}
		result, err := p.send(ctx, instance, "warm", &trace.Request{Pipeline: pipeline, Organisation: p.Fleet.Organisations[0].Name})
		if err == nil && result.Outcome == "answered" {
			answered++
			continue
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// input is what the stand-in endpoints read.
type input struct {
	WorkMs map[string]float64 `json:"work_ms,omitempty"`
}

func (p *Player) send(ctx context.Context, instance int, id string, r *trace.Request) (api.Result, error) {
	in, err := json.Marshal(input{WorkMs: r.WorkMs})
	if err != nil {
		return api.Result{}, err
	}
	body, err := json.Marshal(api.Call{RequestID: id, Organisation: r.Organisation, Priority: r.Priority, PromptCacheKey: r.PromptCacheKey, Input: in})
	if err != nil {
		return api.Result{}, err
	}
	address := "http://" + p.Setup.Callers[instance] + "/v1/pipelines/" + url.PathEscape(r.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return api.Result{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return api.Result{}, err
	}
	defer resp.Body.Close()
	var result api.Result
	return result, json.NewDecoder(resp.Body).Decode(&result)
}

// sent is one request of a replay and what became of it.
type sent struct {
	id      string
	request *trace.Request
	outcome string
	late    bool
}

// Replay replays a trace up to a length and returns the counts.
func (p *Player) Replay(ctx context.Context, t *trace.Trace, length time.Duration) (Row, error) {
	prefix := fmt.Sprintf("%s-%s-", t.Header.Name, p.Setup.Policy)
	var wg sync.WaitGroup
	var all []*sent
	began := time.Now()
	for i, e := range t.Entries {
		if e.At() > length {
			break
		}
		time.Sleep(time.Until(began.Add(e.At())))
		if e.StateChange != nil {
			wg.Go(func() { p.setEndpoints(ctx, e.StateChange.Endpoints, e.StateChange.State) })
			continue
		}
		s := &sent{id: fmt.Sprintf("%s%d", prefix, i), request: e.Request}
		all = append(all, s)
		wg.Go(func() { p.play(ctx, i%len(p.Setup.Callers), s) })
	}
	wg.Wait()
	time.Sleep(settleTime)
	p.setEndpoints(ctx, p.switched(t), standin.EndpointState{})
	runs, err := p.runs(ctx, prefix)
	if err != nil {
		return Row{}, err
	}
	return count(p.Fleet, t.Header.Name, p.Setup.Policy, all, runs), nil
}

func (p *Player) play(ctx context.Context, instance int, s *sent) {
	began := time.Now()
	result, err := p.send(ctx, instance, s.id, s.request)
	if err != nil {
		s.outcome = "unknown"
		return
	}
	s.outcome = result.Outcome
	s.late = time.Since(began) > p.deadline(s.request.Pipeline)+lateAllowance
}

func (p *Player) deadline(name string) time.Duration {
	for _, pipeline := range p.Fleet.Pipelines {
		if pipeline.Name == name {
			return pipeline.Deadline()
		}
	}
	return 0
}

// switched returns the endpoints whose states a trace changes.
func (p *Player) switched(t *trace.Trace) []string {
	var names []string
	for _, e := range t.Entries {
		if e.StateChange != nil {
			names = append(names, e.StateChange.Endpoints...)
		}
	}
	return names
}

func (p *Player) setEndpoints(ctx context.Context, names []string, state standin.EndpointState) {
	body, err := json.Marshal(state)
	if err != nil {
		return
	}
	for _, name := range names {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.Setup.Control+"/endpoints/"+url.PathEscape(name), bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := p.client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// runs returns what the endpoints ran of the requests with a prefix.
func (p *Player) runs(ctx context.Context, prefix string) ([]standin.Run, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Setup.Control+"/runs?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var runs []standin.Run
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
