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

const modelReady = "READY"

// ModelStatus is an entry of the model repository index.
type ModelStatus struct {
	Name       string          `json:"name"`
	Version    string          `json:"version,omitempty"`
	State      string          `json:"state"`
	Parameters ModelParameters `json:"parameters"`
}

// ModelParameters are the parameters of load and unload requests and of the index.
type ModelParameters struct {
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// FencingToken is set only in load and unload requests.
	FencingToken int64 `json:"fencing_token,omitempty"`
}

// ModelOrder is the body of a load or unload request.
type ModelOrder struct {
	Parameters ModelParameters `json:"parameters"`
}

var _ placement.Engine = (*Client)(nil)

// Models implements placement.Engine with the model repository extension.
func (c *Client) Models(ctx context.Context, address string) ([]placement.Model, error) {
	resp, err := c.send(ctx, &attemptCall{address: address}, "/v2/repository/index", struct{}{})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var index []ModelStatus
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxResponse)).Decode(&index); err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "check the endpoint", "cannot decode the model index of %s", address)
	}
	var models []placement.Model
	for _, status := range index {
		if status.State == modelReady {
			models = append(models, placement.Model{Name: status.Name, Adapter: status.Parameters.Adapter, Version: status.Version})
		}
	}
	return models, nil
}

// Order implements placement.Engine with the model repository extension. The fencing token is sent
// as a parameter.
func (c *Client) Order(ctx context.Context, address string, token int64, order placement.Order) error {
	operation := "/unload"
	if order.Load {
		operation = "/load"
	}
	path := "/v2/repository/models/" + url.PathEscape(order.Model.Name) + operation
	body := ModelOrder{Parameters: ModelParameters{Adapter: order.Model.Adapter, Version: order.Model.Version, FencingToken: token}}
	resp, err := c.send(ctx, &attemptCall{address: address}, path, body)
	if err == nil {
		return resp.Body.Close()
	}
	if statusOf(err) == http.StatusConflict {
		return problem.Wrap(err, problem.Conflict, "the instance with the newer token takes over", "endpoint %s has received a newer fencing token than %d", order.Endpoint, token)
	}
	return problem.Wrap(err, problem.Unavailable, "the request will be retried", "endpoint %s did not accept the load or unload request", order.Endpoint)
}

// statusOf returns the HTTP status of a failed call, or 0 if there was no response.
func statusOf(err error) int {
	e, ok := err.(*endpoint.Error)
	if !ok {
		return 0
	}
	return e.Status
}
