package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of fields: characters, bytes and numbers of requests.
const (
	minTokenLength = 8
	maxRequest     = 64 << 20
	maxInFlight    = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// checker collects invalid fields.
type checker struct{ faults []string }

func (c *checker) add(field string, value any, remedy string) {
	c.faults = append(c.faults, fmt.Sprintf("%s is %q: %s", field, fmt.Sprint(value), remedy))
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, value, "use 1 to 64 of a-z, 0-9, '.', '_', '-', beginning and ending with a letter or digit")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, value, "use IP:port, such as 127.0.0.1:8080")
	}
}

func (c *checker) baseURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(field, value, "use http://IP:port or https://IP:port")
	}
}

func (c *checker) duration(field string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, value.Std(), fmt.Sprintf("use %s to %s", low, high))
	}
}

func (c *checker) count(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) between(field string, value, low, high float64) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("use %g to %g", low, high))
	}
}

func (c *checker) token(field, value string) {
	if len(value) < minTokenLength {
		c.faults = append(c.faults, fmt.Sprintf("%s has %d characters: use at least %d", field, len(value), minTokenLength))
	}
}

// Faults returns a message for each invalid field, with its value and a remedy.
func (s Settings) Faults() []string {
	c := &checker{}
	c.name("instance", s.Instance)
	c.name("failure_domain", s.FailureDomain)
	s.addressFaults(c)
	s.tokenFaults(c)
	s.timingFaults(c)
	s.limitFaults(c)
	s.choiceFaults(c)
	return c.faults
}

func (s Settings) addressFaults(c *checker) {
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.metrics", s.Listen.Metrics)
	if s.Advertise.Peers != "" {
		c.address("advertise.peers", s.Advertise.Peers)
	}
	for i, peer := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.baseURL("platform.key_value", s.Platform.KeyValue)
	c.baseURL("platform.instance_list", s.Platform.InstanceList)
}

func (s Settings) tokenFaults(c *checker) {
	if len(s.Tokens.Operators) == 0 {
		c.add("tokens.operators", "", "give at least one token")
	}
	for i, token := range s.Tokens.Operators {
		c.token(fmt.Sprintf("tokens.operators[%d]", i), token)
	}
	c.token("tokens.peers", s.Tokens.Peers)
}

func (s Settings) timingFaults(c *checker) {
	t := s.Timings
	c.duration("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, 30*time.Second)
	c.duration("timings.heartbeat", t.Heartbeat, 20*time.Millisecond, 10*time.Second)
	c.duration("timings.suspect_after", t.SuspectAfter, 3*t.Heartbeat.Std(), time.Minute)
	c.duration("timings.instance_list_poll", t.InstanceListPoll, 50*time.Millisecond, time.Minute)
	c.duration("timings.anti_entropy", t.AntiEntropy, 100*time.Millisecond, 10*time.Minute)
	c.duration("timings.stop_grace", t.StopGrace, time.Second, 10*time.Minute)
	c.duration("placement.lease", s.Placement.Lease, time.Second, time.Minute)
	c.duration("placement.period", s.Placement.Period, 50*time.Millisecond, 10*time.Minute)
	c.duration("placement.order_timeout", s.Placement.OrderTimeout, 100*time.Millisecond, 10*time.Minute)
	if s.Placement.LoadsPerMinute <= 0 {
		c.add("placement.loads_per_minute", s.Placement.LoadsPerMinute, "use a positive number")
	}
	c.duration("timings.claim_retention", t.ClaimRetention, time.Minute, 30*24*time.Hour)
}

func (s Settings) limitFaults(c *checker) {
	c.count("limits.request_bytes", s.Limits.RequestBytes, 1024, maxRequest)
	c.count("limits.answer_bytes", s.Limits.AnswerBytes, 1024, maxRequest)
	c.count("limits.in_flight", int64(s.Limits.InFlight), 1, maxInFlight)
	c.count("limits.queue_per_service", int64(s.Limits.QueuePerService), 1, maxInFlight)
}

func (s Settings) choiceFaults(c *checker) {
	policies := []string{PolicyCobaltcroft, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyStrictLocal}
	if !slices.Contains(policies, s.Policy) {
		c.add("policy", s.Policy, fmt.Sprintf("use one of %v", policies))
	}
	for layer, level := range s.Log {
		if _, err := logrus.ParseLevel(level); err != nil {
			c.add("log."+layer, level, "use error, warn, info, debug or trace")
		}
	}
}
