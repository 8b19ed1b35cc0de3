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
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

const (
	// defaultModel is used if the stage names no model.
	defaultModel       = "default"
	maxIdlePerEndpoint = 64
	dialTimeout        = 300 * time.Millisecond
	maxErrorBody       = 4 << 10
)

// Client implements endpoint.Caller. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	maxResponse int64
}

var _ endpoint.Caller = (*Client)(nil)

// New returns a client that reads at most maxResponse bytes of a response.
func New(maxResponse int64) *Client {
	// Requests carry no Idempotency-Key, so net/http does not retry one that the endpoint may have
	// read.
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: httpconn.StrictTransport{Transport: transport}}, maxResponse: maxResponse}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// attemptCall is the state of one call.
type attemptCall struct {
	address string
	call    endpoint.Call
	load    *endpoint.Load
}

func (a *attemptCall) newError(effect endpoint.Effect, cause error) *endpoint.Error {
	return &endpoint.Error{Effect: effect, Address: a.address, Attempt: a.call.Attempt, Load: a.load, Cause: cause}
}

// mismatch returns the error for a response to another attempt. The outcome of this attempt is
// unknown.
func (a *attemptCall) mismatch(id, request, stage string) *endpoint.Error {
	e := a.newError(endpoint.Indeterminate, errors.Newf("received a response to request %q, stage %q, attempt %q", request, stage, id))
	e.Mismatched = true
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

func (a *attemptCall) path(operation string) string {
	model := a.call.Model
	if model == "" {
		model = defaultModel
	}
	path := "/v2/models/" + url.PathEscape(model)
	if a.call.Version != "" {
		path += "/versions/" + url.PathEscape(a.call.Version)
	}
	return path + "/" + operation
}

// matches reports whether a response belongs to this attempt.
func (a *attemptCall) matches(id string, p Parameters) bool {
	return id == a.call.Attempt.ID && p.RequestID == a.call.Attempt.Request && p.Stage == a.call.Attempt.Stage
}

// Call implements endpoint.Caller.
func (c *Client) Call(ctx context.Context, address string, call endpoint.Call) (endpoint.Response, error) {
	a := &attemptCall{address: address, call: call}
	body := InferRequest{ID: call.Attempt.ID, Parameters: a.parameters(), Inputs: []Tensor{TensorOf("input", call.Input)}}
	resp, err := c.send(ctx, a, a.path("infer"), body)
	if err != nil {
		return endpoint.Response{}, err
	}
	defer resp.Body.Close()
	data, readErr := io.ReadAll(io.LimitReader(resp.Body, c.maxResponse+1))
	if readErr != nil {
		return endpoint.Response{}, a.newError(endpoint.Indeterminate, errors.Wrap(readErr, "the response is incomplete"))
	}
	if int64(len(data)) > c.maxResponse {
		return endpoint.Response{}, a.newError(endpoint.Failed, errors.Newf("the response exceeds %d bytes", c.maxResponse))
	}
	return a.decode(data)
}

// decode decodes a response and checks that it belongs to this attempt.
func (a *attemptCall) decode(data []byte) (endpoint.Response, error) {
	var resp InferResponse
	if err := json.Unmarshal(data, &resp); err != nil {
		return endpoint.Response{}, a.newError(endpoint.Indeterminate, errors.Wrap(err, "cannot decode the response"))
	}
	if !a.matches(resp.ID, resp.Parameters) {
		return endpoint.Response{}, a.mismatch(resp.ID, resp.Parameters.RequestID, resp.Parameters.Stage)
	}
	if len(resp.Outputs) != 1 || len(resp.Outputs[0].Data) != 1 || !json.Valid([]byte(resp.Outputs[0].Data[0])) {
		return endpoint.Response{}, a.newError(endpoint.Failed, errors.New("the response does not consist of a single JSON output"))
	}
	return endpoint.Response{Output: json.RawMessage(resp.Outputs[0].Data[0]), Load: a.load}, nil
}

// send posts a call. It returns an error if the response status is not 200.
func (c *Client) send(ctx context.Context, a *attemptCall, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, a.newError(endpoint.NotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.address+path, bytes.NewReader(data))
	if err != nil {
		return nil, a.newError(endpoint.NotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, a.newError(effectOf(err), err)
	}
	a.load = decodeLoad(resp.Header.Get(HeaderLoad))
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, c.errorResponse(a, resp)
}

// effectOf distinguishes a failed dial from a broken connection.
func effectOf(err error) endpoint.Effect {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return endpoint.NotSent
	}
	return endpoint.Indeterminate
}

// errorResponse converts an error status to an error.
func (c *Client) errorResponse(a *attemptCall, resp *http.Response) error {
	if reason := resp.Header.Get(HeaderNotRun); resp.StatusCode == http.StatusServiceUnavailable && reason != "" {
		e := a.newError(endpoint.Refused, errors.Newf("not run: %s", reason))
		e.Draining = reason == NotRunDraining
		e.ModelMissing = reason == NotRunModelMissing
		return e
	}
	var body ErrorResponse
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body)
	e := a.newError(endpoint.Indeterminate, errors.Newf("status %d without the ID of this attempt", resp.StatusCode))
	if err == nil && body.ID == a.call.Attempt.ID {
		e = a.newError(endpoint.Failed, errors.Newf("status %d: %s", resp.StatusCode, body.Error))
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
func (c *Client) Generate(ctx context.Context, address string, call endpoint.Call, prior []endpoint.Token, sink func(endpoint.Token) error) (endpoint.Response, error) {
	a := &attemptCall{address: address, call: call}
	params := a.parameters()
	for _, token := range prior {
		params.Prior = append(params.Prior, token.Text)
	}
	body := GenerateRequest{ID: call.Attempt.ID, TextInput: string(call.Input), Parameters: params}
	resp, err := c.send(ctx, a, a.path("generate_stream"), body)
	if err != nil {
		return endpoint.Response{}, err
	}
	defer resp.Body.Close()
	s := &stream{attemptCall: a, tokens: slices.Clone(prior), sink: sink}
	return s.read(io.LimitReader(resp.Body, c.maxResponse))
}

// stream decodes the events of a streamed response.
type stream struct {
	*attemptCall
	tokens []endpoint.Token
	sink   func(endpoint.Token) error
}

func (s *stream) read(body io.Reader) (endpoint.Response, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxErrorBody*16)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		finished, err := s.handleEvent([]byte(data))
		if err != nil {
			return endpoint.Response{}, err
		}
		if finished {
			return s.response(), nil
		}
	}
	return endpoint.Response{}, s.newError(endpoint.Indeterminate, errors.Newf("the stream ended before its last event: %v", lines.Err()))
}

// handleEvent processes an event and reports whether it was the last one.
func (s *stream) handleEvent(data []byte) (finished bool, err error) {
	var e GenerateResponse
	if err := json.Unmarshal(data, &e); err != nil {
		return false, s.newError(endpoint.Indeterminate, errors.Wrap(err, "cannot decode a stream event"))
	}
	if !s.matches(e.ID, e.Parameters) {
		return false, s.mismatch(e.ID, e.Parameters.RequestID, e.Parameters.Stage)
	}
	if e.Error != "" {
		return false, s.newError(endpoint.Failed, errors.New(e.Error))
	}
	if e.Parameters.Index != len(s.tokens) {
		return false, s.newError(endpoint.Indeterminate, errors.Newf("received token %d of the stream, expected %d", e.Parameters.Index, len(s.tokens)))
	}
	if e.Parameters.Finished {
		return true, nil
	}
	token := endpoint.Token{Index: len(s.tokens), Text: e.TextOutput}
	s.tokens = append(s.tokens, token)
	if err := s.sink(token); err != nil {
		return false, s.newError(endpoint.Stopped, err)
	}
	return false, nil
}

// response returns the complete text as a JSON string.
func (s *stream) response() endpoint.Response {
	var text strings.Builder
	for _, token := range s.tokens {
		text.WriteString(token.Text)
	}
	output, _ := json.Marshal(text.String())
	return endpoint.Response{Output: output, Load: s.load}
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
