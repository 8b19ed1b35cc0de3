package openinference

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
)

// streamOf encodes a complete stream of n tokens.
func streamOf(a endpoint.Attempt, n int) []byte {
	var b bytes.Buffer
	for i := range n + 1 {
		e := GenerateResponse{ID: a.ID, ModelName: "bulletin", Parameters: Parameters{RequestID: a.Request, Stage: a.Stage, Index: i, Finished: i == n}}
		if i < n {
			e.TextOutput = "frost "
		}
		data, _ := json.Marshal(e)
		fmt.Fprintf(&b, "data: %s\n\n", data)
	}
	return b.Bytes()
}

func read(body []byte, a endpoint.Attempt, sink func(endpoint.Token) error) (endpoint.Response, error) {
	s := &stream{attemptCall: &attemptCall{call: endpoint.Call{Attempt: a}}, sink: sink}
	return s.read(bytes.NewReader(body))
}

// BenchmarkToken measures reading and validating one token of a stream.
func BenchmarkToken(b *testing.B) {
	const tokens = 1000
	a := endpoint.Attempt{Request: "8e506090-22fa-49c9", Stage: "generate", ID: "2f1c7a52-0b1e-4a77"}
	body := streamOf(a, tokens)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := read(body, a, func(endpoint.Token) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

func FuzzStream(f *testing.F) {
	a := endpoint.Attempt{Request: "r", Stage: "s", ID: "a"}
	f.Add(streamOf(a, 3))
	f.Add([]byte("data: {}\n\n"))
	f.Add([]byte("data: {\"id\":\"a\",\"parameters\":{\"request_id\":\"r\",\"stage\":\"s\",\"index\":1}}\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		next := 0
		answer, err := read(body, a, func(token endpoint.Token) error {
			if token.Index != next {
				t.Fatalf("received token %d, expected %d", token.Index, next)
			}
			next++
			return nil
		})
		if err == nil && !json.Valid(answer.Output) {
			t.Fatalf("answer %q", answer.Output)
		}
	})
}
