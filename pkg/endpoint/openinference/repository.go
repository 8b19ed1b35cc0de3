package openinference

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/placement"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// stateReady is the state of a model that can be called.
const stateReady = "READY"

// ModelStatus is one entry of the model repository extension's index.
type ModelStatus struct {
	Name       string          `json:"name"`
	Version    string          `json:"version,omitempty"`
	State      string          `json:"state"`
	Parameters ModelParameters `json:"parameters"`
}

// ModelParameters travel with orders and the index.
type ModelParameters struct {
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// FencingToken comes with orders alone.
	FencingToken int64 `json:"fencing_token,omitempty"`
}

// ModelOrder is the body of a load or unload.
type ModelOrder struct {
	Parameters ModelParameters `json:"parameters"`
}

var _ placement.Engine = (*Client)(nil)

// Models implements placement.Engine over the model repository extension.
func (c *Client) Models(ctx context.Context, address string) ([]placement.Model, error) {
	resp, err := c.send(ctx, &attemptCall{address: address}, "/v2/repository/index", struct{}{})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var index []ModelStatus
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxAnswer)).Decode(&index); err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "check the endpoint", "the model index of %s does not parse", address)
	}
	var models []placement.Model
	for _, status := range index {
		if status.State == stateReady {
			models = append(models, placement.Model{Name: status.Name, Adapter: status.Parameters.Adapter, Version: status.Version})
		}
	}
	return models, nil
}

// Order implements placement.Engine over the model repository extension; the token
// is a parameter of the order.
func (c *Client) Order(ctx context.Context, address string, token int64, order placement.Order) error {
	verb := "/unload"
	if order.Load {
		verb = "/load"
	}
	path := "/v2/repository/models/" + url.PathEscape(order.Model.Name) + verb
	body := ModelOrder{Parameters: ModelParameters{Adapter: order.Model.Adapter, Version: order.Model.Version, FencingToken: token}}
	resp, err := c.send(ctx, &attemptCall{address: address}, path, body)
	if err == nil {
		return resp.Body.Close()
	}
	if statusOf(err) == http.StatusConflict {
		return problem.Wrap(err, problem.Conflict, "the newer holder goes on", "endpoint %s has seen a newer token than %d", order.Endpoint, token)
	}
	return problem.Wrap(err, problem.Unavailable, "the order is given again", "endpoint %s did not take the order", order.Endpoint)
}

// statusOf returns the HTTP status behind a failed call; 0 if there was none.
func statusOf(err error) int {
	e, ok := err.(*endpoint.Error)
	if !ok {
		return 0
	}
	return e.Status
}
