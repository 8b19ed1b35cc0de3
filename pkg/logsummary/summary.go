// Package logsummary summarises gateway logs for operators: request outcomes and latencies, stage
// planning, stage calls and the accuracy of their estimates, source calls, and ownership changes.
package logsummary

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// served is the outcome of a request that was answered by its endpoint.
const served = "answered"

// Summary aggregates log lines. Not safe for concurrent use.
type Summary struct {
	requests    map[requestKey]*sample
	plans       map[string]*sample     // by reason
	calls       map[string]*stageCalls // by service
	sourceCalls map[sourceKey]*sample
	decisions   map[decisionKey]*sample
	// malformed is the number of lines that are not logfmt.
	malformed int
}

type requestKey struct{ route, outcome string }

type sourceKey struct{ of, call string }

type decisionKey struct{ event, cause string }

// stageCalls aggregates the calls to the endpoints of a service.
type stageCalls struct {
	took     sample
	pieces   int
	notMade  int
	reasons  map[string]int
	overrun  time.Duration
	expected time.Duration
}

// New returns an empty summary.
func New() *Summary {
	return &Summary{
		requests:    map[requestKey]*sample{},
		plans:       map[string]*sample{},
		calls:       map[string]*stageCalls{},
		sourceCalls: map[sourceKey]*sample{},
		decisions:   map[decisionKey]*sample{},
	}
}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read adds the lines of one or more logs. Text before the first key-value pair of a line, such as
// a prefix from a log collector, is ignored. Malformed lines are skipped and counted.
func (sum *Summary) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, err := parse(lines.Bytes())
		if err != nil {
			sum.malformed++
			continue
		}
		sum.add(line)
	}
	if err := lines.Err(); err != nil {
		return problem.Wrap(err, problem.Invalid, "give a readable log with lines of up to a megabyte", "failed to read log")
	}
	return nil
}

func parse(text []byte) (fields, error) {
	line := fields{}
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return line, decoder.Err()
}

// fields holds the key-value pairs of a line.
type fields map[string]string

// ms returns a field in milliseconds as a duration; 0 if it is missing.
func (f fields) ms(name string) time.Duration {
	return time.Duration(f.number(name)) * time.Millisecond
}

func (f fields) number(name string) int {
	n, err := strconv.Atoi(f[name])
	if err != nil {
		return 0
	}
	return n
}

// add aggregates a line.
func (sum *Summary) add(line fields) {
	switch event := line["event"]; event {
	case "request":
		sampleOf(sum.requests, requestKey{line["route"], line["outcome"]}).add(line.ms("ms"))
	case "stages":
		reason := line["reason"]
		if reason == "" {
			reason = "made"
		}
		sampleOf(sum.plans, reason).add(line.ms("ms"))
	case "stage_call":
		sum.addCall(line)
	case "source_call", "source_call_failed":
		call := line["call"]
		if event == "source_call_failed" {
			call += " failed"
		}
		sampleOf(sum.sourceCalls, sourceKey{line["of"], call}).add(line.ms("ms"))
	case "owner", "division":
		sampleOf(sum.decisions, decisionKey{event, line["cause"]}).add(0)
	}
}

func (sum *Summary) addCall(line fields) {
	calls := sum.calls[line["service"]]
	if calls == nil {
		calls = &stageCalls{reasons: map[string]int{}}
		sum.calls[line["service"]] = calls
	}
	took, expected := line.ms("ms"), line.ms("expected_ms")
	calls.took.add(took)
	calls.pieces += line.number("pieces")
	calls.expected += expected
	calls.overrun += max(0, took-expected)
	if failed := line.number("not_made"); failed > 0 {
		calls.notMade += failed
		calls.reasons[line["why_not"]] += failed
	}
}

// sampleOf returns the sample of a key, creating it if necessary.
func sampleOf[K comparable](samples map[K]*sample, key K) *sample {
	s := samples[key]
	if s == nil {
		s = &sample{}
		samples[key] = s
	}
	return s
}
