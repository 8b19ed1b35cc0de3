// Package settings reads and checks the settings file of an instance. Settings
// are what a process must know before it can reach anything: its name, addresses,
// failure domain, tokens and the platform's addresses. All else is configuration.
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
	// Tokens that operators and peers present.
	Tokens Tokens `json:"tokens"`
	// Platform has the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Timings of the control work.
	Timings Timings `json:"timings"`
	// Placement of models on endpoints.
	Placement Placement `json:"placement"`
	// Limits on input.
	Limits Limits `json:"limits"`
	// Policy chooses the decision policy; all but "cobaltcroft" are baselines
	// for measuring.
	Policy string `json:"policy"`
	// Log gives a level by layer; "default" applies to all others.
	Log map[string]string `json:"log"`
}

// Listen has one address (IP:port) for each face.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Advertise has addresses (IP:port) at which others reach this instance, where a
// forwarder stands before it. Empty: the listen address.
type Advertise struct {
	Peers string `json:"peers"`
}

// Tokens are shared secrets.
type Tokens struct {
	// Operators are accepted on the operators' face, any of them, so that they
	// can be changed one after the other.
	Operators []string `json:"operators"`
	// Peers is shared by all instances.
	Peers string `json:"peers"`
}

// Platform has the base URLs of the platform's services.
type Platform struct {
	KeyValue     string `json:"key_value"`
	InstanceList string `json:"instance_list"`
	// Timeout bounds one call.
	Timeout Duration `json:"timeout"`
}

// Timings of the control work.
type Timings struct {
	// Heartbeat is the time between heartbeats to each peer of the domain.
	Heartbeat Duration `json:"heartbeat"`
	// SuspectAfter is the silence after which a peer is suspected.
	SuspectAfter Duration `json:"suspect_after"`
	// InstanceListPoll is the time between reads of the instance list.
	InstanceListPoll Duration `json:"instance_list_poll"`
	// AntiEntropy is the time between reads of the configuration's head by an
	// instance that holds no watch.
	AntiEntropy Duration `json:"anti_entropy"`
	// StopGrace bounds how long a planned stop waits for requests in flight.
	StopGrace Duration `json:"stop_grace"`
	// ClaimRetention is how long the platform keeps the claim of a
	// not-repeatable request.
	ClaimRetention Duration `json:"claim_retention"`
}

// Placement of models on endpoints, by the holder of the failure domain's lease.
type Placement struct {
	// Lease is the time of the lease; whole seconds.
	Lease Duration `json:"lease"`
	// Period is the time between readings of the endpoints' models.
	Period Duration `json:"period"`
	// OrderTimeout bounds one order.
	OrderTimeout Duration `json:"order_timeout"`
	// LoadsPerMinute bounds the loads in the failure domain: what the weight store
	// bears, divided by the number of domains.
	LoadsPerMinute float64 `json:"loads_per_minute"`
}

// Limits on input.
type Limits struct {
	// RequestBytes bounds a caller's body.
	RequestBytes int64 `json:"request_bytes"`
	// AnswerBytes bounds an endpoint's answer.
	AnswerBytes int64 `json:"answer_bytes"`
	// InFlight bounds the requests in flight on this instance.
	InFlight int `json:"in_flight"`
	// QueuePerService bounds the calls that wait for an endpoint of a service.
	QueuePerService int `json:"queue_per_service"`
}

// The policies that Settings.Policy may name.
const (
	PolicyCobaltcroft   = "cobaltcroft"
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastInFlight = "least_in_flight"
	PolicyStrictLocal   = "strict_local"
)

// Defaults returns the settings that apply where the file is silent.
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

// Read reads and checks the settings file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, problem.Wrap(err, problem.Invalid, "name a readable file", "settings %s cannot be read", path)
	}
	return Parse(data)
}

// Parse reads settings from JSON and checks them. The error lists every fault.
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
