package traffic_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// noWork makes the stand-ins respond immediately.
var noWork = json.RawMessage(`{"work_ms":{"encode":0,"retrieve":0,"rerank":0,"generate":0},"tokens":1}`)

// BenchmarkRequest compares a request of four stages through the executor with the same
// four calls made directly, which gives the overhead per stage.
func BenchmarkRequest(b *testing.B) {
	bench, stop := startBench()
	defer stop()
	b.Run("executor", func(b *testing.B) {
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			r := call("bulletin", time.Second)
			r.ID = strconv.Itoa(n)
			r.Input = noWork
			if result := bench.run(r); result.Outcome != request.Answered {
				b.Fatalf("%+v", result.Problem)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		client := openinference.New(1 << 20)
		defer client.Close()
		for b.Loop() {
			callDirectly(b, bench, client)
		}
	})
}

func callDirectly(b *testing.B, bench *bench, client *openinference.Client) {
	input := json.RawMessage(`{"input":` + string(noWork) + `}`)
	for stage, service := range map[string]string{"encode": "encoder", "retrieve": "archive", "rerank": "reranker"} {
		c := endpoint.Call{Attempt: endpoint.Attempt{Request: "r", Stage: stage, ID: "a"}, Input: input, Deadline: time.Now().Add(time.Second)}
		if _, err := client.Call(context.Background(), bench.endpoint(service, "1").Address(), c); err != nil {
			b.Fatal(err)
		}
	}
	c := endpoint.Call{Attempt: endpoint.Attempt{Request: "r", Stage: "generate", ID: "a"}, Input: input, Deadline: time.Now().Add(time.Second)}
	if _, err := client.Generate(context.Background(), bench.endpoint("engine", "1").Address(), c, nil, func(endpoint.Token) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
