// Package httpsd reads an instance list in Prometheus' HTTP service discovery
// format: a JSON list of groups of targets with labels.
package httpsd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// The labels that describe an instance.
const (
	LabelName          = "name"
	LabelService       = "service"
	LabelFailureDomain = "failure_domain"
	LabelState         = "state"
	LabelIncarnation   = "incarnation"
	LabelChecksTokens  = "checks_tokens"
)

// maxList is the maximum size of a list in bytes.
const maxList = 15 << 20

// Group is one element of the list.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Client is an infra.InstanceList. List is not safe for concurrent use.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client
	// etag is the entity tag of the last list.
	etag string
}

var _ infra.InstanceList = (*Client)(nil)

// New returns a client of the list at url.
func New(url string, timeout time.Duration) *Client {
	return &Client{url: url, timeout: timeout, http: &http.Client{Transport: httpconn.StrictTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// List implements infra.InstanceList. It makes a conditional request if the service
// supports entity tags. Entries with an invalid address or state are skipped.
func (c *Client) List(ctx context.Context) (entries []infra.ListEntry, unchanged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, false, problem.Wrap(err, problem.Invalid, "correct platform.instance_list in the settings", "invalid address of the instance list")
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, problem.Wrap(err, problem.Unavailable, "check the platform's instance list", "failed to fetch the instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, true, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, problem.New(problem.Unavailable, "check the platform's instance list", "instance list returned status %d", resp.StatusCode)
	}
	var groups []Group
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&groups); err != nil {
		return nil, false, problem.Wrap(err, problem.Unavailable, "check the platform's instance list", "failed to parse the instance list")
	}
	c.etag = resp.Header.Get("ETag")
	return convert(groups), false, nil
}

func convert(groups []Group) []infra.ListEntry {
	var listed []infra.ListEntry
	for _, group := range groups {
		for _, target := range group.Targets {
			if l, ok := convertTarget(target, group.Labels); ok {
				listed = append(listed, l)
			}
		}
	}
	return listed
}

func convertTarget(target string, labels map[string]string) (infra.ListEntry, bool) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return infra.ListEntry{}, false
	}
	state := infra.State(labels[LabelState])
	if state != infra.Live && state != infra.Leaving {
		return infra.ListEntry{}, false
	}
	name := labels[LabelName]
	if name == "" {
		name = target
	}
	incarnation, _ := strconv.ParseUint(labels[LabelIncarnation], 10, 64)
	return infra.ListEntry{
		Name:          name,
		Address:       target,
		FailureDomain: labels[LabelFailureDomain],
		Service:       labels[LabelService],
		State:         state,
		Incarnation:   incarnation,
		ChecksTokens:  labels[LabelChecksTokens] == "true",
	}, true
}
