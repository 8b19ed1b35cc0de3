package rollout

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Status is the status of a rollout at one instance.
type Status struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the revision of the order; AgeMs is how long this instance has known it, in
	// milliseconds.
	Order revision.Revision `json:"order"`
	AgeMs int64             `json:"age_ms"`
	// Exposure is withheld, tried, proven or refuted. Share is the fraction of requests for a
	// version on trial.
	Exposure string  `json:"exposure"`
	Share    float64 `json:"share,omitempty"`
	State    State   `json:"state,omitempty"`
	Recorded bool    `json:"recorded"`
	// Conducted is set if this instance is the conductor. Then Answers is the number of answers
	// evaluated, and Against the highest weight of evidence against the version, for Measure.
	Conducted bool    `json:"conducted,omitempty"`
	Answers   int     `json:"answers,omitempty"`
	Against   float64 `json:"against,omitempty"`
	Measure   string  `json:"measure,omitempty"`
}

// List returns the status of all rollouts in force.
func (m *Manager) List() []Status {
	list := []Status{}
	now := m.clock.Now()
	for _, order := range m.view.Rollouts().InForce() {
		entry := Status{Service: order.Service, Version: order.Version, Order: order.Revision}
		m.Participant.list(&entry)
		m.mu.Lock()
		if c := m.conducted[order.Revision]; c != nil && now.Sub(c.reportAt) < conductPeriod {
			entry.Conducted, entry.Answers = true, c.Answers()
			entry.Against, entry.Measure = c.StrongestEvidence()
		}
		m.mu.Unlock()
		list = append(list, entry)
	}
	return list
}

// list fills in the instruction known to the participant.
func (p *Participant) list(entry *Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	standing := fleet.RolloutState{}
	if known := p.participations[entry.Order]; known != nil {
		standing = known.standing(now)
		entry.AgeMs, entry.State, entry.Recorded = now.Sub(known.knownSince).Milliseconds(), known.instruction.State, known.instruction.Recorded
	}
	entry.Exposure, entry.Share = standing.Exposure.String(), standing.Share
}
