// Package trace defines the trace format and generates the sample traces. A trace is a
// JSON Lines file with a header and entries in chronological order.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

// Header is the first line of a trace.
type Header struct {
	Fleet string `json:"fleet"`
	Name  string `json:"trace"`
	// About describes the trace.
	About string `json:"about"`
	// Expected holds the results that a simulated replay must reach.
	Expected Expected `json:"expected"`
}

// Expected holds the thresholds for the results of a trace.
type Expected struct {
	// MinAttainment is the minimum share of requests completely answered in time.
	MinAttainment float64 `json:"min_attainment"`
	// MinMargin is the minimum difference to the attainment of the best baseline
	// policy on the same trace. It may be negative.
	MinMargin float64 `json:"min_margin"`
	// MaxWasteRatio is the maximum share of wasted endpoint time, relative to that of
	// the least wasteful baseline policy.
	MaxWasteRatio float64 `json:"max_waste_ratio"`
	// MinOthersAttainment is the minimum attainment of the organisations other than
	// the flooding one; 0 if there is none.
	MinOthersAttainment float64 `json:"min_others_attainment,omitempty"`
}

// Entry is a line of a trace: a request or a change of endpoint states.
type Entry struct {
	// AtMs is the time since the start of the trace, in milliseconds.
	AtMs        float64      `json:"at_ms"`
	Request     *Request     `json:"request,omitempty"`
	StateChange *StateChange `json:"switch,omitempty"`
}

// Request is a request of a trace. It includes the service times, so that they do not
// depend on the policy.
type Request struct {
	Pipeline       string `json:"pipeline"`
	Organisation   string `json:"organisation"`
	Priority       string `json:"priority,omitempty"`
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// WorkMs is the service time of each stage, in milliseconds.
	WorkMs map[string]float64 `json:"work_ms"`
}

// StateChange sets the state of endpoints.
type StateChange struct {
	Endpoints []string              `json:"endpoints"`
	State     standin.EndpointState `json:"state"`
}

// At returns the entry's time since the start.
func (e Entry) At() time.Duration { return time.Duration(e.AtMs * float64(time.Millisecond)) }

// Trace is a parsed trace.
type Trace struct {
	Header  Header
	Entries []Entry
}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read reads a trace.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	t := &Trace{}
	for n := 1; lines.Scan(); n++ {
		if err := t.parseLine(n, lines.Bytes()); err != nil {
			return nil, problem.Wrap(err, problem.Invalid, "generate the traces again with 'cobaltcroft-load traces'", "failed to parse trace line %d", n)
		}
	}
	return t, lines.Err()
}

func (t *Trace) parseLine(n int, data []byte) error {
	if n == 1 {
		return json.Unmarshal(data, &t.Header)
	}
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	t.Entries = append(t.Entries, e)
	return nil
}

// Write writes a trace.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(t.Header); err != nil {
		return err
	}
	for _, e := range t.Entries {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
