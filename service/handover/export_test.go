package handover

import "github.com/cobaltcroft/cobaltcroft/pkg/pipeline"

// of returns the peer addresses of those that rank before this instance for a part, and
// this instance's own at the end.
func (o *owners) of(part pipeline.Part) []string {
	var addresses []string
	for _, candidate := range o.ranked(part) {
		addresses = append(addresses, candidate.address)
		if candidate.address == o.self.PeerAddress {
			break
		}
	}
	return addresses
}
