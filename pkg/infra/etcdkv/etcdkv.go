// Package etcdkv implements infra.KeyValue over etcd's JSON gateway (API v3: /v3/kv,
// /v3/lease, /v3/watch).
package etcdkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	remedyService = "check the platform's key-value service; the system continues with its in-memory state"
	remedyUnknown = "retry with the same id; the response was lost and the change may have taken effect"
	// maxResponse is the maximum size of a response in bytes: a base64 value and the
	// enclosing message.
	maxResponse = 2*infra.MaxValue + 4096
)

// Client is an infra.KeyValue. Safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	watch   *http.Client
}

var _ infra.KeyValue = (*Client)(nil)

// New returns a client of the service at base, such as http://127.0.0.1:2379. timeout
// applies to all calls except Watch.
func New(base string, timeout time.Duration) *Client {
	transport := httpconn.StrictTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
		watch:   &http.Client{Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements infra.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (infra.Value, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &resp, problem.Unavailable); err != nil {
		return infra.Value{}, err
	}
	if len(resp.Kvs) == 0 {
		return infra.Value{}, nil
	}
	return infra.Value{Data: resp.Kvs[0].Value, Version: resp.Kvs[0].ModRevision}, nil
}

// CompareAndSwap implements infra.KeyValue.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, data []byte, lease infra.LeaseID) (int64, error) {
	if len(data) > infra.MaxValue {
		return 0, problem.New(problem.Invalid, "split the value", "value of key %s has %d bytes, over the service's %d", key, len(data), infra.MaxValue)
	}
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []requestOp{{RequestPut: &putRequest{Key: []byte(key), Value: data, Lease: int64(lease)}}},
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &resp, problem.Unknown); err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		return 0, infra.ConflictProblem(key, expected)
	}
	return resp.Header.Revision, nil
}

// Delete implements infra.KeyValue.
func (c *Client) Delete(ctx context.Context, key string) error {
	var resp struct{}
	return c.call(ctx, "/v3/kv/deleterange", deleteRequest{Key: []byte(key)}, &resp, problem.Unknown)
}

// Grant implements infra.KeyValue.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	var resp leaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if err := c.call(ctx, "/v3/lease/grant", leaseGrantRequest{TTL: seconds}, &resp, problem.Unknown); err != nil {
		return 0, err
	}
	return infra.LeaseID(resp.ID), nil
}

// KeepAlive implements infra.KeyValue.
func (c *Client) KeepAlive(ctx context.Context, lease infra.LeaseID) error {
	var resp leaseKeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", leaseKeepAliveRequest{ID: int64(lease)}, &resp, problem.Unknown); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return problem.New(problem.NotFound, "take a new lease", "lease %d has expired", lease)
	}
	return nil
}

// Watch implements infra.KeyValue.
func (c *Client) Watch(ctx context.Context, key string, after int64, changed func(infra.Value)) error {
	resp, err := c.post(ctx, c.watch, "/v3/watch", watchRequest{CreateRequest: watchCreate{Key: []byte(key), StartRevision: after + 1}}, problem.Unavailable)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &io.LimitedReader{R: resp.Body}
	decoder := json.NewDecoder(body)
	for {
		// A watch lasts for any time, but each of its messages has an end.
		body.N = maxResponse
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return problem.Wrap(err, problem.Unavailable, remedyService, "watch of key %s failed", key)
		}
		for _, event := range message.Result.Events {
			changed(infra.Value{Data: event.Kv.Value, Version: event.Kv.ModRevision})
		}
	}
}

// call makes a call. If the request may have reached the service but its response is
// not known, the problem is of kind lost.
func (c *Client) call(ctx context.Context, path string, req, resp any, lost problem.Kind) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.post(ctx, c.http, path, req, lost)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return problem.Wrap(err, lost, remedyFor(lost), "failed to read the response of %s", path)
	}
	if err := json.Unmarshal(data, resp); err != nil {
		return problem.Wrap(err, lost, remedyFor(lost), "failed to parse the response of %s", path)
	}
	return nil
}

func (c *Client) post(ctx context.Context, client *http.Client, path string, body any, lost problem.Kind) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, problem.Wrap(err, problem.Internal, "report this", "failed to encode the request to %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, problem.Wrap(err, problem.Invalid, "correct platform.key_value in the settings", "invalid address of %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		kind := lost
		if notSent(err) {
			kind = problem.Unavailable
		}
		return nil, problem.Wrap(err, kind, remedyFor(kind), "request to %s failed", path)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	resp.Body.Close()
	return nil, statusProblem(resp.StatusCode, path, lost)
}

// statusProblem maps an HTTP status to a problem. 429 and 503 mean that nothing was done.
func statusProblem(status int, path string, lost problem.Kind) error {
	kind := lost
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		kind = problem.Unavailable
	}
	return problem.New(kind, remedyFor(kind), "%s returned status %d", path, status)
}

func remedyFor(kind problem.Kind) string {
	if kind == problem.Unknown {
		return remedyUnknown
	}
	return remedyService
}

// notSent reports whether err is a failure to connect.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
