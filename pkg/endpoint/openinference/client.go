package openinference

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
)

const (
	// defaultModel is the model's name in the path where the stage names none.
	defaultModel = "default"
	// maxIdlePerEndpoint bounds the idle connections kept for one endpoint.
	maxIdlePerEndpoint = 64
	dialTimeout        = 300 * time.Millisecond
	maxErrorBody       = 4 << 10
)

// Client is an endpoint.Caller. Safe for concurrent use.
type Client struct {
	http      *http.Client
	maxAnswer int64
}

var _ endpoint.Caller = (*Client)(nil)

// New returns a client that reads at most maxAnswer bytes of an answer.
func New(maxAnswer int64) *Client {
	// No request carries an Idempotency-Key, and so net/http never sends one again
	// after a byte of it may have been read.
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, maxAnswer: maxAnswer}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// attemptCall carries what each step of one call needs.
type attemptCall struct {
	address string
	call    endpoint.Call
	load    *endpoint.Load
}

func (a *attemptCall) fail(effect endpoint.Effect, cause error) *endpoint.Error {
	return &endpoint.Error{Effect: effect, Address: a.address, Attempt: a.call.Attempt, Load: a.load, Cause: cause}
}

// foreign is the error for an answer that belongs to something else. This
// attempt's own fate is not known.
func (a *attemptCall) foreign(id, request, stage string) *endpoint.Error {
	e := a.fail(endpoint.Doubtful, errors.Newf("the answer is of request %q stage %q attempt %q", request, stage, id))
	e.Foreign = true
	return e
}

func (a *attemptCall) parameters() Parameters {
	return Parameters{
		RequestID:      a.call.Attempt.Request,
		Stage:          a.call.Attempt.Stage,
		Organisation:   a.call.Organisation,
		Priority:       a.call.Rank,
		DeadlineMs:     max(1, time.Until(a.call.Deadline).Milliseconds()),
		Adapter:        a.call.Adapter,
		PromptCacheKey: a.call.PromptCacheKey,
	}
}

func (a *attemptCall) path(verb string) string {
	model := a.call.Model
	if model == "" {
		model = defaultModel
	}
	path := "/v2/models/" + url.PathEscape(model)
	if a.call.Version != "" {
		path += "/versions/" + url.PathEscape(a.call.Version)
	}
	return path + "/" + verb
}

// matches tells whether an answer is this attempt's.
func (a *attemptCall) matches(id string, p Parameters) bool {
	return id == a.call.Attempt.ID && p.RequestID == a.call.Attempt.Request && p.Stage == a.call.Attempt.Stage
}

// Call implements endpoint.Caller.
func (c *Client) Call(ctx context.Context, address string, call endpoint.Call) (endpoint.Answer, error) {
	a := &attemptCall{address: address, call: call}
	body := InferRequest{ID: call.Attempt.ID, Parameters: a.parameters(), Inputs: []Tensor{TensorOf("input", call.Input)}}
	resp, err := c.send(ctx, a, a.path("infer"), body)
	if err != nil {
		return endpoint.Answer{}, err
	}
	defer resp.Body.Close()
	data, readErr := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if readErr != nil {
		return endpoint.Answer{}, a.fail(endpoint.Doubtful, errors.Wrap(readErr, "the answer broke off"))
	}
	if int64(len(data)) > c.maxAnswer {
		return endpoint.Answer{}, a.fail(endpoint.Failed, errors.Newf("the answer is longer than %d bytes", c.maxAnswer))
	}
	return a.whole(data)
}

// whole checks that data is one whole answer, and this attempt's.
func (a *attemptCall) whole(data []byte) (endpoint.Answer, error) {
	var resp InferResponse
	if err := json.Unmarshal(data, &resp); err != nil {
		return endpoint.Answer{}, a.fail(endpoint.Doubtful, errors.Wrap(err, "the answer does not parse"))
	}
	if !a.matches(resp.ID, resp.Parameters) {
		return endpoint.Answer{}, a.foreign(resp.ID, resp.Parameters.RequestID, resp.Parameters.Stage)
	}
	if len(resp.Outputs) != 1 || len(resp.Outputs[0].Data) != 1 || !json.Valid([]byte(resp.Outputs[0].Data[0])) {
		return endpoint.Answer{}, a.fail(endpoint.Failed, errors.New("the answer has not one output of one JSON text"))
	}
	return endpoint.Answer{Output: json.RawMessage(resp.Outputs[0].Data[0]), Load: a.load}, nil
}

// send posts a call and returns the response if its status is 200.
func (c *Client) send(ctx context.Context, a *attemptCall, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, a.fail(endpoint.NotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.address+path, bytes.NewReader(data))
	if err != nil {
		return nil, a.fail(endpoint.NotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, a.fail(effectOf(err), err)
	}
	a.load = decodeLoad(resp.Header.Get(HeaderLoad))
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, c.refused(a, resp)
}

// effectOf tells a connection that was never made from one that broke.
func effectOf(err error) endpoint.Effect {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return endpoint.NotSent
	}
	return endpoint.Doubtful
}

// refused reads an error status.
func (c *Client) refused(a *attemptCall, resp *http.Response) error {
	if why := resp.Header.Get(HeaderNotRun); resp.StatusCode == http.StatusServiceUnavailable && why != "" {
		e := a.fail(endpoint.Refused, errors.Newf("not run: %s", why))
		e.Draining = why == NotRunDraining
		e.Lacking = why == NotRunLacking
		return e
	}
	var body ErrorResponse
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body)
	e := a.fail(endpoint.Doubtful, errors.Newf("status %d without this attempt's id", resp.StatusCode))
	if err == nil && body.ID == a.call.Attempt.ID {
		e = a.fail(endpoint.Failed, errors.Newf("status %d: %s", resp.StatusCode, body.Error))
	}
	e.Status = resp.StatusCode
	return e
}

func decodeLoad(header string) *endpoint.Load {
	text, ok := strings.CutPrefix(header, loadPrefix)
	if !ok {
		return nil
	}
	var m LoadMetrics
	if json.Unmarshal([]byte(text), &m) != nil {
		return nil
	}
	n := m.NamedMetrics
	return &endpoint.Load{Running: int(n.Running), Waiting: int(n.Waiting), Draining: n.Draining > 0}
}

// Generate implements endpoint.Caller.
func (c *Client) Generate(ctx context.Context, address string, call endpoint.Call, prior []endpoint.Token, sink func(endpoint.Token) error) (endpoint.Answer, error) {
	a := &attemptCall{address: address, call: call}
	params := a.parameters()
	for _, token := range prior {
		params.Prior = append(params.Prior, token.Text)
	}
	body := GenerateRequest{ID: call.Attempt.ID, TextInput: string(call.Input), Parameters: params}
	resp, err := c.send(ctx, a, a.path("generate_stream"), body)
	if err != nil {
		return endpoint.Answer{}, err
	}
	defer resp.Body.Close()
	s := &stream{attemptCall: a, tokens: slices.Clone(prior), sink: sink}
	return s.read(io.LimitReader(resp.Body, c.maxAnswer))
}

// stream reads the events of one generated answer.
type stream struct {
	*attemptCall
	tokens []endpoint.Token
	sink   func(endpoint.Token) error
}

func (s *stream) read(body io.Reader) (endpoint.Answer, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxErrorBody*16)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		finished, err := s.event([]byte(data))
		if err != nil {
			return endpoint.Answer{}, err
		}
		if finished {
			return s.answer(), nil
		}
	}
	return endpoint.Answer{}, s.fail(endpoint.Doubtful, errors.Newf("the stream broke off before its last event: %v", lines.Err()))
}

// event takes in one event, and tells whether it was the last.
func (s *stream) event(data []byte) (finished bool, err error) {
	var e GenerateResponse
	if err := json.Unmarshal(data, &e); err != nil {
		return false, s.fail(endpoint.Doubtful, errors.Wrap(err, "an event of the stream does not parse"))
	}
	if !s.matches(e.ID, e.Parameters) {
		return false, s.foreign(e.ID, e.Parameters.RequestID, e.Parameters.Stage)
	}
	if e.Error != "" {
		return false, s.fail(endpoint.Failed, errors.New(e.Error))
	}
	if e.Parameters.Index != len(s.tokens) {
		return false, s.fail(endpoint.Doubtful, errors.Newf("the stream went to token %d, not %d", e.Parameters.Index, len(s.tokens)))
	}
	if e.Parameters.Finished {
		return true, nil
	}
	token := endpoint.Token{Index: len(s.tokens), Text: e.TextOutput}
	s.tokens = append(s.tokens, token)
	if err := s.sink(token); err != nil {
		return false, s.fail(endpoint.Stopped, err)
	}
	return false, nil
}

// answer is the whole text, as a JSON string.
func (s *stream) answer() endpoint.Answer {
	var text strings.Builder
	for _, token := range s.tokens {
		text.WriteString(token.Text)
	}
	output, _ := json.Marshal(text.String())
	return endpoint.Answer{Output: output, Load: s.load}
}

// Cancel implements endpoint.Caller.
func (c *Client) Cancel(ctx context.Context, address string, attempt endpoint.Attempt) error {
	a := &attemptCall{address: address, call: endpoint.Call{Attempt: attempt}}
	resp, err := c.send(ctx, a, a.path("cancel"), CancelRequest{ID: attempt.ID})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
