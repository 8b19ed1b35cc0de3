package rollout

import "github.com/cobaltcroft/cobaltcroft/pkg/fleet"

// Listed is how a rollout stands at one instance.
type Listed struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the revision of the order, AgeMs how long it is known here, in milliseconds.
	Order uint64 `json:"order"`
	AgeMs int64  `json:"age_ms"`
	// Exposure is withheld, tried, proven or refuted, and Share the part of the requests that a version gets
	// which is tried.
	Exposure string  `json:"exposure"`
	Share    float64 `json:"share,omitempty"`
	State    State   `json:"state,omitempty"`
	Recorded bool    `json:"recorded"`
	// Conducted says that this instance decides; then Answers is how many of the version's were weighed, and Against
	// the weight of what speaks most against it, by Measure.
	Conducted bool    `json:"conducted,omitempty"`
	Answers   int     `json:"answers,omitempty"`
	Against   float64 `json:"against,omitempty"`
	Measure   string  `json:"measure,omitempty"`
}

// List returns how all rollouts in force stand here, by service.
func (k *Keeper) List() []Listed {
	list := []Listed{}
	now := k.clock.Now()
	for _, order := range k.view.Rollouts().Orders {
		entry := Listed{Service: order.Service, Version: order.Version, Order: order.Revision}
		k.Participant.list(&entry)
		k.mu.Lock()
		if c := k.conductors[order.Revision]; c != nil && now.Sub(c.reportAt) < conductsFor {
			entry.Conducted, entry.Answers = true, c.Answers()
			entry.Against, entry.Measure = c.Against()
		}
		k.mu.Unlock()
		list = append(list, entry)
	}
	return list
}

// list fills in what an instance was told.
func (p *Participant) list(entry *Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	standing := fleet.RolloutState{}
	if known := p.part[entry.Order]; known != nil {
		standing = known.standing(now)
		entry.AgeMs, entry.State, entry.Recorded = now.Sub(known.since).Milliseconds(), known.told.State, known.told.Recorded
	}
	entry.Exposure, entry.Share = standing.Exposure.String(), standing.Share
}
