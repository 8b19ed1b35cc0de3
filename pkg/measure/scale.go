package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1/cobaltcroftv1connect"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

const (
	// quietTime is how long the instances are left alone before and while they are
	// measured at rest.
	quietTime = 8 * time.Second
	// spreadChanges is how many changes are made to measure their spreading.
	spreadChanges = 12
	// spreadPause is the time between them, and before their events are read.
	spreadPause = 700 * time.Millisecond
	megabyte    = 1 << 20
)

// ScaleResult is what control costs one instance on average, at rest, and how fast
// changes spread.
type ScaleResult struct {
	Instances, Endpoints int
	// BytesPerSecond are heartbeats sent and received.
	BytesPerSecond float64
	// CPUShare is the part of a core.
	CPUShare float64
	// HeapMB is the Go heap in use, in MiB.
	HeapMB float64
	// SpreadP50 and SpreadMax are from the first instance that has a change in force
	// to the others.
	SpreadP50, SpreadMax time.Duration
	// KeyValueCallsPerSecond of all instances together, at rest.
	KeyValueCallsPerSecond float64
}

// String gives the result as one line of key=value pairs.
func (r ScaleResult) String() string {
	return fmt.Sprintf("scale instances=%d endpoints=%d bytes_per_s=%.0f cpu_share=%.4f heap_mb=%.1f spread_p50_ms=%d spread_max_ms=%d kv_calls_per_s=%.2f",
		r.Instances, r.Endpoints, r.BytesPerSecond, r.CPUShare, r.HeapMB, r.SpreadP50.Milliseconds(), r.SpreadMax.Milliseconds(), r.KeyValueCallsPerSecond)
}

// scaler measures one set of processes.
type scaler struct {
	setup  Setup
	client *http.Client
}

// Scale measures the running instances of a setup.
func Scale(ctx context.Context, setup Setup) (ScaleResult, error) {
	s := &scaler{setup: setup, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	if err := s.configure(ctx); err != nil {
		return ScaleResult{}, err
	}
	if err := s.awaitAll(ctx); err != nil {
		return ScaleResult{}, err
	}
	result := ScaleResult{Instances: len(setup.Instances), Endpoints: setup.Endpoints}
	if err := s.rest(ctx, &result); err != nil {
		return ScaleResult{}, err
	}
	return result, s.spread(ctx, &result)
}

func (s *scaler) operators(i int) cobaltcroftv1connect.OperatorsClient {
	return cobaltcroftv1connect.NewOperatorsClient(s.client, "http://"+s.setup.Operators[i])
}

func request[T any](message *T) *connect.Request[T] {
	req := connect.NewRequest(message)
	req.Header().Set("Authorization", "Bearer "+operatorsToken)
	return req
}

// apply changes an organisation.
func (s *scaler) apply(ctx context.Context, instance int, id string, weight uint32, services int) error {
	req := &pb.ApplyRequest{ChangeId: id, Author: "scale"}
	put := func(o *pb.Object) {
		req.Operations = append(req.Operations, &pb.Operation{Action: &pb.Operation_Put{Put: o}})
	}
	for i := range services {
		put(&pb.Object{Value: &pb.Object_Service{Service: &pb.Service{Name: fmt.Sprintf("service-%d", i), Kind: pb.StageKind_STAGE_KIND_GENERATION, Concurrency: 8}}})
	}
	put(&pb.Object{Value: &pb.Object_Organisation{Organisation: &pb.Organisation{Name: "scale", Weight: weight}}})
	_, err := s.operators(instance).Apply(ctx, request(req))
	return err
}

func (s *scaler) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := s.apply(ctx, 0, "scale-services", 1, scaleServices)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitAll waits until each instance knows all others and all endpoints.
func (s *scaler) awaitAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*startTimeout)
	defer cancel()
	for i := range s.setup.Operators {
		for !s.complete(ctx, i) {
			if ctx.Err() != nil {
				return problem.New(problem.Unavailable, "see the logs of the processes", "instance %s does not know all others", s.setup.Operators[i])
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (s *scaler) complete(ctx context.Context, i int) bool {
	resp, err := s.operators(i).Status(ctx, request(&pb.StatusRequest{}))
	if err != nil {
		return false
	}
	live := 0
	for _, instance := range resp.Msg.Instances {
		if instance.State == "live" {
			live++
		}
	}
	return live == len(s.setup.Instances) && len(resp.Msg.Endpoints) == s.setup.Endpoints
}

// sample are the counters of one instance.
type sample struct{ bytes, cpu, heap float64 }

func (s *scaler) sample(ctx context.Context, address string) (sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return sample{}, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	var result sample
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "cobaltcroft_heartbeat_bytes_total"):
			result.bytes += value
		case name == "process_cpu_seconds_total":
			result.cpu = value
		case name == "go_memstats_heap_inuse_bytes":
			result.heap = value
		}
	}
	return result, lines.Err()
}

func (s *scaler) samples(ctx context.Context) ([]sample, error) {
	var all []sample
	for _, address := range s.setup.Metrics {
		one, err := s.sample(ctx, address)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

func (s *scaler) counts(ctx context.Context) (standin.KeyValueCounts, error) {
	var counts standin.KeyValueCounts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.setup.Control+"/counts", nil)
	if err != nil {
		return counts, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return counts, err
	}
	defer resp.Body.Close()
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}

// rest measures the instances while nothing is asked of them.
func (s *scaler) rest(ctx context.Context, result *ScaleResult) error {
	time.Sleep(quietTime)
	before, err := s.samples(ctx)
	if err != nil {
		return err
	}
	countsBefore, err := s.counts(ctx)
	if err != nil {
		return err
	}
	time.Sleep(quietTime)
	after, err := s.samples(ctx)
	if err != nil {
		return err
	}
	countsAfter, err := s.counts(ctx)
	if err != nil {
		return err
	}
	n, seconds := float64(len(before)), quietTime.Seconds()
	for i := range before {
		result.BytesPerSecond += (after[i].bytes - before[i].bytes) / seconds / n
		result.CPUShare += (after[i].cpu - before[i].cpu) / seconds / n
		result.HeapMB += after[i].heap / megabyte / n
	}
	calls := countsAfter.Reads + countsAfter.Writes + countsAfter.Watches - countsBefore.Reads - countsBefore.Writes - countsBefore.Watches
	result.KeyValueCallsPerSecond = float64(calls) / seconds
	return nil
}

// spread makes changes at instances in turn, and reads from the time line when each
// was in force where.
func (s *scaler) spread(ctx context.Context, result *ScaleResult) error {
	var delays []time.Duration
	for n := range spreadChanges {
		id := fmt.Sprintf("scale-%d", n)
		if err := s.apply(ctx, n%len(s.setup.Operators), id, uint32(n+2), 0); err != nil {
			return err
		}
		time.Sleep(spreadPause)
		one, err := s.delays(ctx, id)
		if err != nil {
			return err
		}
		delays = append(delays, one...)
	}
	slices.Sort(delays)
	result.SpreadP50 = delays[len(delays)/2]
	result.SpreadMax = delays[len(delays)-1]
	return nil
}

func (s *scaler) delays(ctx context.Context, id string) ([]time.Duration, error) {
	for {
		resp, err := s.operators(0).Timeline(ctx, request(&pb.TimelineRequest{ChangeId: id}))
		if err != nil {
			return nil, err
		}
		var at []int64
		for _, e := range resp.Msg.Events {
			if e.Kind == "change_in_force" {
				at = append(at, e.WallMs)
			}
		}
		if len(at) < len(s.setup.Instances) {
			time.Sleep(spreadPause)
			continue
		}
		slices.Sort(at)
		var delays []time.Duration
		for _, ms := range at[1:] {
			delays = append(delays, time.Duration(ms-at[0])*time.Millisecond)
		}
		return delays, nil
	}
}
