package handover

import "github.com/cobaltcroft/cobaltcroft/pkg/pipeline"

// ranking returns the peer addresses ranking the instances that rank before this one for a part,
// followed by its own.
func (o *owners) ranking(part pipeline.Part) []string {
	var addresses []string
	for _, candidate := range o.ranked(part) {
		addresses = append(addresses, candidate.PeerAddress)
		if candidate.PeerAddress == o.self.PeerAddress {
			break
		}
	}
	return addresses
}

// known returns how many stages of all tracked plans have results.
func (p *progress) known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, stages := range p.made {
		for _, results := range stages {
			if len(results) > 0 {
				n++
			}
		}
	}
	return n
}
