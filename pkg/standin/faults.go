package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
)

// EndpointFaults are the faults of an endpoint. The zero value is none.
type EndpointFaults struct {
	// Calls is how many calls the faults apply to; 0 is all.
	Calls int `json:"calls,omitempty"`
	// Slow multiplies the service time.
	Slow float64 `json:"slow,omitempty"`
	// Busy and Draining refuse calls without running them.
	Busy     bool `json:"busy,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// DieBefore closes the connection before the call runs, DieAfter when it has
	// run but before the answer, DieMidway in the middle of the answer.
	DieBefore bool `json:"die_before,omitempty"`
	DieAfter  bool `json:"die_after,omitempty"`
	DieMidway bool `json:"die_midway,omitempty"`
	// Freeze never answers.
	Freeze bool `json:"freeze,omitempty"`
	// Error answers that the call ran and failed; Error500 with a status that says
	// nothing of what ran.
	Error    bool `json:"error,omitempty"`
	Error500 bool `json:"error_500,omitempty"`
	// Foreign names what of the answer's identity is wrong: request, stage or
	// attempt.
	Foreign string `json:"foreign,omitempty"`
	// Cross makes two calls get each other's answers.
	Cross bool `json:"cross,omitempty"`
	// Twice sends the answer twice, Garbage something else, Oversized far too much.
	Twice     bool `json:"twice,omitempty"`
	Garbage   bool `json:"garbage,omitempty"`
	Oversized bool `json:"oversized,omitempty"`
	// StaleLoadMs makes load reports that old, in milliseconds.
	StaleLoadMs int `json:"stale_load_ms,omitempty"`
	// LateMs delays the answer after the call has run, in milliseconds.
	LateMs int `json:"late_ms,omitempty"`
	// DieAfterTokens and FreezeAfterTokens break a stream, SkipTokens leaves a gap.
	DieAfterTokens    int `json:"die_after_tokens,omitempty"`
	FreezeAfterTokens int `json:"freeze_after_tokens,omitempty"`
	SkipTokens        int `json:"skip_tokens,omitempty"`
}

// NextCall are faults for the next call to any of several endpoints, and for no other.
type NextCall struct {
	mu     sync.Mutex
	faults EndpointFaults
	taken  bool
}

// NewNextCall returns faults that one call meets.
func NewNextCall(f EndpointFaults) *NextCall { return &NextCall{faults: f} }

func (n *NextCall) take() (EndpointFaults, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.taken {
		return EndpointFaults{}, false
	}
	n.taken = true
	return n.faults, true
}

// SetNextCall has the endpoint's next call meet faults that it shares with others.
func (e *Endpoint) SetNextCall(n *NextCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextCall = n
}

// takeFaults returns the faults for the next call. The endpoint's lock is held.
func (e *Endpoint) takeFaults() EndpointFaults {
	if e.nextCall != nil {
		shared := e.nextCall
		e.nextCall = nil
		if f, ok := shared.take(); ok {
			return f
		}
	}
	return e.faults.take()
}

// take returns the faults for the next call and counts it.
func (f *EndpointFaults) take() EndpointFaults {
	taken := *f
	if f.Calls == 0 {
		return taken
	}
	f.Calls--
	if f.Calls == 0 {
		*f = EndpointFaults{}
	}
	return taken
}

// refuse answers a call that is not to run, and tells whether it did.
func (f EndpointFaults) refuse(w http.ResponseWriter) bool {
	if f.DieBefore {
		panic(http.ErrAbortHandler)
	}
	why := ""
	if f.Busy {
		why = openinference.NotRunBusy
	}
	if f.Draining {
		why = openinference.NotRunDraining
	}
	if why == "" {
		return false
	}
	w.Header().Set(openinference.HeaderNotRun, why)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// forge makes the identity of an answer wrong.
func (f EndpointFaults) forge(id *string, p *openinference.Parameters) {
	switch f.Foreign {
	case "request":
		p.RequestID += "-other"
	case "stage":
		p.Stage += "-other"
	case "attempt":
		*id += "-other"
	}
}

// answer writes the answer to a call that has run, with the faults.
func (e *Endpoint) answer(ctx context.Context, w http.ResponseWriter, id string, resp openinference.InferResponse, f EndpointFaults) error {
	if f.Freeze {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	sleep(ctx, time.Duration(f.LateMs)*time.Millisecond)
	if f.DieAfter {
		panic(http.ErrAbortHandler)
	}
	if f.Error500 {
		w.WriteHeader(http.StatusInternalServerError)
		return nil
	}
	if f.Error {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return json.NewEncoder(w).Encode(openinference.ErrorResponse{ID: id, Error: "out of memory"})
	}
	f.forge(&resp.ID, &resp.Parameters)
	if f.Cross {
		resp = e.exchange(ctx, resp)
	}
	data, err := json.Marshal(resp)
	if err != nil {
		return err
	}
	return writeFaulty(w, data, f)
}

func writeFaulty(w http.ResponseWriter, data []byte, f EndpointFaults) error {
	switch {
	case f.Garbage:
		data = []byte("<html>not what you think</html>")
	case f.Twice:
		data = append(data, data...)
	case f.Oversized:
		data = []byte(`"` + strings.Repeat("x", 32<<20) + `"`)
	case f.DieMidway:
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write(data)
	return err
}

// exchange gives this answer to the next call that crosses, and returns that call's.
func (e *Endpoint) exchange(ctx context.Context, resp openinference.InferResponse) openinference.InferResponse {
	select {
	case other := <-e.crossed:
		e.crossedBack <- resp
		return other
	default:
	}
	select {
	case e.crossed <- resp:
	case <-ctx.Done():
		return resp
	}
	select {
	case other := <-e.crossedBack:
		return other
	case <-ctx.Done():
		return resp
	}
}
