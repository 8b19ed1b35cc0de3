// Package account sums up the logs of gateways for who is on call: what became of requests and how
// long those were held that were not served, how good forecasts were, what the stage endpoints
// did, who asked the source and why, and who decided on owners.
package account

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// served is the outcome of a request that got its endpoint's answer.
const served = "answered"

// Account sums log lines up. Not safe for concurrent use.
type Account struct {
	// requests are by route and outcome, plans by what became of them, calls by service, asked by
	// what the source was asked for, and decisions by what was decided and why.
	requests  map[requestKey]*sample
	plans     map[string]*sample
	calls     map[string]*stageCalls
	asked     map[sourceKey]*sample
	decisions map[decisionKey]*sample
	// unread counts the lines that are no pairs.
	unread int
}

type requestKey struct{ route, outcome string }

type sourceKey struct{ of, call string }

type decisionKey struct{ event, cause string }

// stageCalls sums up the calls to the endpoints of one service.
type stageCalls struct {
	took     sample
	pieces   int
	notMade  int
	reasons  map[string]int
	overrun  time.Duration
	expected time.Duration
}

// New returns an account of nothing.
func New() *Account {
	return &Account{
		requests:  map[requestKey]*sample{},
		plans:     map[string]*sample{},
		calls:     map[string]*stageCalls{},
		asked:     map[sourceKey]*sample{},
		decisions: map[decisionKey]*sample{},
	}
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Read takes in the lines of one log or of several together. What precedes the first pair of a
// line, such as the name of its instance, is passed over; so are lines that do not parse, which
// are counted.
func (a *Account) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, err := parse(lines.Bytes())
		if err != nil {
			a.unread++
			continue
		}
		a.add(line)
	}
	if err := lines.Err(); err != nil {
		return problem.Wrap(err, problem.Invalid, "give a readable log with lines of up to a megabyte", "a log cannot be read")
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

// fields are the pairs of one line.
type fields map[string]string

// ms is a field in milliseconds; 0 if there is none.
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

// add takes one line in.
func (a *Account) add(line fields) {
	switch event := line["event"]; event {
	case "request":
		at(a.requests, requestKey{line["route"], line["outcome"]}).add(line.ms("ms"))
	case "stages":
		reason := line["reason"]
		if reason == "" {
			reason = "made"
		}
		at(a.plans, reason).add(line.ms("ms"))
	case "stage_call":
		a.addCall(line)
	case "source_call", "source_call_failed":
		call := line["call"]
		if event == "source_call_failed" {
			call += " failed"
		}
		at(a.asked, sourceKey{line["of"], call}).add(line.ms("ms"))
	case "owner", "division":
		at(a.decisions, decisionKey{event, line["cause"]}).add(0)
	}
}

func (a *Account) addCall(line fields) {
	calls := a.calls[line["service"]]
	if calls == nil {
		calls = &stageCalls{reasons: map[string]int{}}
		a.calls[line["service"]] = calls
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

// at returns the sample of a key, a new one if there is none.
func at[K comparable](samples map[K]*sample, key K) *sample {
	s := samples[key]
	if s == nil {
		s = &sample{}
		samples[key] = s
	}
	return s
}
