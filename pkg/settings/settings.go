// Package settings reads and validates the settings file of an instance. It contains what a process needs
// before it can reach any other: its name, failure domain, addresses, tokens and the addresses of the
// platform. Everything else is part of the configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Settings of one instance.
type Settings struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance"`
	// FailureDomain that this instance stands in.
	FailureDomain string `json:"failure_domain"`
	// Listen has the address of each face. Port 0 lets the system choose.
	Listen Listen `json:"listen"`
	// Advertise has the addresses told to others, where they differ from Listen.
	Advertise Advertise `json:"advertise"`
	// Peers are the peer addresses of some other instances, to begin with.
	Peers []string `json:"peers"`
	// Tokens authenticate operators and peers.
	Tokens Tokens `json:"tokens"`
	// Platform contains the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Timings contains intervals and timeouts.
	Timings Timings `json:"timings"`
	// Placement of models on endpoints.
	Placement Placement `json:"placement"`
	// Limits contains limits on sizes and numbers of requests.
	Limits Limits `json:"limits"`
	// Policy is the policy by which endpoints are chosen. All but "cobaltcroft" are baselines for
	// measurements.
	Policy string `json:"policy"`
	// Log maps layers to log levels; "default" applies to all other layers.
	Log map[string]string `json:"log"`
}

// Listen contains the address (IP:port) of each interface.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Advertise contains the addresses (IP:port) at which others reach this instance if they differ from the
// listen addresses, such as behind a port forwarder. Empty fields default to the listen address.
type Advertise struct {
	Peers string `json:"peers"`
}

// Tokens are shared secrets.
type Tokens struct {
	// Operators are the tokens of operators. Several are valid at a time, so that they can be rotated.
	Operators []string `json:"operators"`
	// Peers is shared by all instances.
	Peers string `json:"peers"`
}

// Platform has the base URLs of the platform's services.
type Platform struct {
	KeyValue     string `json:"key_value"`
	InstanceList string `json:"instance_list"`
	// Timeout is the timeout of a call.
	Timeout Duration `json:"timeout"`
}

// Timings contains intervals and timeouts.
type Timings struct {
	// Heartbeat is the interval between heartbeats to each peer of the failure domain.
	Heartbeat Duration `json:"heartbeat"`
	// SuspectAfter is the silence after which a peer is suspected.
	SuspectAfter Duration `json:"suspect_after"`
	// InstanceListPoll is the interval between reads of the instance list.
	InstanceListPoll Duration `json:"instance_list_poll"`
	// AntiEntropy is the mean interval between reads of the configuration's head by an instance that
	// does not watch it.
	AntiEntropy Duration `json:"anti_entropy"`
	// StopGrace is how long a graceful shutdown waits for requests in flight.
	StopGrace Duration `json:"stop_grace"`
	// ClaimRetention is how long the platform keeps the claim of a non-repeatable request.
	ClaimRetention Duration `json:"claim_retention"`
}

// Placement configures how the holder of a failure domain's lease places models on endpoints.
type Placement struct {
	// Lease is the lease time in whole seconds.
	Lease Duration `json:"lease"`
	// Period is the interval between reads of the endpoints' models.
	Period Duration `json:"period"`
	// OrderTimeout is the timeout of an order.
	OrderTimeout Duration `json:"order_timeout"`
	// LoadsPerMinute is the maximum rate of model loads in the failure domain: the capacity of the weight
	// store divided by the number of failure domains.
	LoadsPerMinute float64 `json:"loads_per_minute"`
}

// Limits on input.
type Limits struct {
	// RequestBytes is the maximum size of a request body.
	RequestBytes int64 `json:"request_bytes"`
	// AnswerBytes is the maximum size of a response of an endpoint.
	AnswerBytes int64 `json:"answer_bytes"`
	// InFlight is the maximum number of requests in flight at this instance.
	InFlight int `json:"in_flight"`
	// QueuePerService is the maximum number of calls waiting for an endpoint of a service.
	QueuePerService int `json:"queue_per_service"`
}

// Values of Settings.Policy.
const (
	PolicyCobaltcroft   = "cobaltcroft"
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastInFlight = "least_in_flight"
	PolicyStrictLocal   = "strict_local"
)

// Defaults returns the values of fields that the file omits.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(500 * time.Millisecond)},
		Timings: Timings{
			Heartbeat:        Duration(time.Second),
			SuspectAfter:     Duration(3 * time.Second),
			InstanceListPoll: Duration(time.Second),
			AntiEntropy:      Duration(30 * time.Second),
			StopGrace:        Duration(30 * time.Second),
			ClaimRetention:   Duration(24 * time.Hour),
		},
		Placement: Placement{
			Lease:          Duration(10 * time.Second),
			Period:         Duration(30 * time.Second),
			OrderTimeout:   Duration(60 * time.Second),
			LoadsPerMinute: 12,
		},
		Limits: Limits{
			RequestBytes:    1 << 20,
			AnswerBytes:     8 << 20,
			InFlight:        4096,
			QueuePerService: 1024,
		},
		Policy: PolicyCobaltcroft,
	}
}

// Read reads and validates the settings file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, problem.Wrap(err, problem.Invalid, "name a readable file", "settings %s cannot be read", path)
	}
	return Parse(data)
}

// Parse parses settings from JSON and validates them. The error lists all invalid fields.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, problem.Wrap(err, problem.Invalid, "correct the JSON; docs/SETTINGS.md lists the fields", "settings do not parse")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Settings{}, problem.New(problem.Invalid, "keep one JSON object in the file", "settings go on after the first object")
	}
	if faults := s.Faults(); len(faults) > 0 {
		p := problem.New(problem.Invalid, "correct each field named", "settings are not valid")
		p.Faults = faults
		return Settings{}, p
	}
	return s, nil
}
