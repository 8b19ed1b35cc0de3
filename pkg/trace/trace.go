// Package trace has the format of recorded traces, and makes the sample traces of
// both fleets. A trace is a file of JSON lines: a header, then entries in the order
// of their times.
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
	// What happens in the trace, for people.
	About string `json:"about"`
	// Expected is what a replay of the decisions alone, without processes, must
	// reach.
	Expected Expected `json:"expected"`
}

// Expected are the stated outcomes of a trace.
type Expected struct {
	// MinAttainment is the least share of requests answered whole in time.
	MinAttainment float64 `json:"min_attainment"`
	// MinMargin is the least that attainment must be above the best simple policy's
	// on the same trace; below zero where a simple policy may be a little better.
	MinMargin float64 `json:"min_margin"`
	// MaxWasteRatio bounds the share of endpoint time spent in vain, as a part of
	// the most thrifty simple policy's.
	MaxWasteRatio float64 `json:"max_waste_ratio"`
	// MinOthersAttainment is the least attainment of the organisations that do not
	// flood; 0 where none does.
	MinOthersAttainment float64 `json:"min_others_attainment,omitempty"`
}

// Entry is one line: a request, or a change of an endpoint's state.
type Entry struct {
	// AtMs is the time since the start, in milliseconds.
	AtMs    float64  `json:"at_ms"`
	Request *Request `json:"request,omitempty"`
	Switch  *Switch  `json:"switch,omitempty"`
}

// Request of a trace. Service times come with it, so that policies differ by their
// decisions alone.
type Request struct {
	Pipeline       string `json:"pipeline"`
	Organisation   string `json:"organisation"`
	Priority       string `json:"priority,omitempty"`
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// WorkMs is the time of each stage at an endpoint, in milliseconds.
	WorkMs map[string]float64 `json:"work_ms"`
}

// Switch changes endpoints' states.
type Switch struct {
	Endpoints []string              `json:"endpoints"`
	State     standin.EndpointState `json:"state"`
}

// At returns the entry's time since the start.
func (e Entry) At() time.Duration { return time.Duration(e.AtMs * float64(time.Millisecond)) }

// Trace is a whole trace.
type Trace struct {
	Header  Header
	Entries []Entry
}

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read reads a trace.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	t := &Trace{}
	for n := 1; lines.Scan(); n++ {
		if err := t.line(n, lines.Bytes()); err != nil {
			return nil, problem.Wrap(err, problem.Invalid, "make the traces again with 'cobaltcroft-load traces'", "trace line %d does not parse", n)
		}
	}
	return t, lines.Err()
}

func (t *Trace) line(n int, data []byte) error {
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
