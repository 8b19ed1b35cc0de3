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

// EndpointFaults are the faults of an endpoint. The zero value contains none.
type EndpointFaults struct {
	// Calls is the number of calls to which the faults apply. 0 stands for all.
	Calls int `json:"calls,omitempty"`
	// Slow is a factor by which calls take longer.
	Slow float64 `json:"slow,omitempty"`
	// Busy and Draining reject calls without processing them.
	Busy     bool `json:"busy,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// DieBefore closes the connection before the call is processed, DieAfter before the response, and
	// DieMidway within the response.
	DieBefore bool `json:"die_before,omitempty"`
	DieAfter  bool `json:"die_after,omitempty"`
	DieMidway bool `json:"die_midway,omitempty"`
	// Freeze never responds.
	Freeze bool `json:"freeze,omitempty"`
	// Error responds that the call was processed and failed, Error500 with a status that does not tell
	// whether it was processed.
	Error    bool `json:"error,omitempty"`
	Error500 bool `json:"error_500,omitempty"`
	// Foreign is the part of the response's identity that is wrong: request, stage or attempt.
	Foreign string `json:"foreign,omitempty"`
	// Cross swaps the responses of two calls.
	Cross bool `json:"cross,omitempty"`
	// Twice sends the response twice, Garbage sends invalid data and Oversized too much data.
	Twice     bool `json:"twice,omitempty"`
	Garbage   bool `json:"garbage,omitempty"`
	Oversized bool `json:"oversized,omitempty"`
	// StaleLoadMs is the age of load reports in milliseconds.
	StaleLoadMs int `json:"stale_load_ms,omitempty"`
	// LateMs delays the response after the call was processed, in milliseconds.
	LateMs int `json:"late_ms,omitempty"`
	// DieAfterTokens and FreezeAfterTokens interrupt a stream. SkipTokens leaves tokens out.
	DieAfterTokens    int `json:"die_after_tokens,omitempty"`
	FreezeAfterTokens int `json:"freeze_after_tokens,omitempty"`
	SkipTokens        int `json:"skip_tokens,omitempty"`
}

// NextCall contains faults that apply once, to the next call to any of several endpoints.
type NextCall struct {
	mu     sync.Mutex
	faults EndpointFaults
	taken  bool
}

// NewNextCall returns faults that apply to one call.
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

// SetNextCall sets faults that the endpoint shares with others.
func (e *Endpoint) SetNextCall(n *NextCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextCall = n
}

// takeFaults returns the faults of the next call. The caller must hold the endpoint's lock.
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

// take returns the faults of the next call and counts the call.
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

// refuse rejects a call if a fault requires it, and reports whether it did.
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

// forge falsifies the identity of a response.
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

// answer writes the response to a processed call, with the faults applied.
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

// exchange swaps a response with that of another call to which Cross applies.
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
