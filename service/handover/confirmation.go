package handover

import (
	"math/rand/v2"
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// probesPerDomain is how many instances of each other failure domain are pinged to find out whether
// the domain is reachable. One of them may have failed.
const probesPerDomain = 2

// claim makes this instance the owner of a part. If another owner is known, the claim is
// provisional until this instance has reached a majority of the failure domains. During a network
// partition the check takes up to transferTimeout.
func (r *Router) claim(part pipeline.Part, cause string) {
	if !r.claims.claim(part, cause) {
		return
	}
	if holder, _ := r.claims.holder(part); holder.Provisional {
		go r.confirmIfMajority(part)
	}
}

// settleProvisional resolves one provisional claim of this instance and reports whether there is
// one. Once a majority of the failure domains is reachable, the part goes back to the displaced
// owner if it responds; otherwise the claim is confirmed.
//
// The majority is checked first. If a partition heals between the two checks, an owner that was
// pinged before it healed would wrongly be considered failed.
func (r *Router) settleProvisional() bool {
	own, displaced, found := r.claims.provisional(r.divisions.current().Parts)
	if !found {
		return false
	}
	if r.transferring.Swap(true) {
		return true
	}
	go func() {
		defer r.transferring.Store(false)
		if !r.reachesMajority() {
			return
		}
		giveBack := displaced.Term > 0 && r.probe(displaced.Owner)
		if holder, _ := r.claims.holder(own.Part); holder != own {
			// Another instance claimed the part in the meantime.
			return
		}
		if giveBack {
			r.transferToFirst(own.Part, []ownership.Owner{displaced.Owner}, "healed")
			return
		}
		r.claims.confirm(own.Part)
	}()
	return true
}

func (r *Router) confirmIfMajority(part pipeline.Part) {
	if r.reachesMajority() {
		r.claims.confirm(part)
	}
}

// reachesMajority reports whether this instance reaches more than half of the failure domains,
// including its own.
func (r *Router) reachesMajority() bool {
	domains := r.owners.otherDomains()
	reached := make([]bool, len(domains))
	var group sync.WaitGroup
	for i, domain := range domains {
		group.Go(func() { reached[i] = r.anyReachable(domain) })
	}
	group.Wait()
	n := 1
	for _, ok := range reached {
		n += choose(ok, 1, 0)
	}
	return 2*n > len(domains)+1
}

// anyReachable pings a random sample of the members and reports whether any of them responds.
func (r *Router) anyReachable(members []membership.Member) bool {
	sample := rand.Perm(len(members))[:min(probesPerDomain, len(members))]
	responses := make(chan bool, len(sample))
	for _, n := range sample {
		go func() { responses <- r.ping(members[n].PeerAddress) }()
	}
	for range sample {
		if <-responses {
			return true
		}
	}
	return false
}

// otherDomains returns the live members of each other failure domain.
func (o *owners) otherDomains() [][]membership.Member {
	byDomain := map[string][]membership.Member{}
	for _, m := range o.live() {
		if m.FailureDomain != o.self.FailureDomain {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	var domains [][]membership.Member
	for _, members := range byDomain {
		domains = append(domains, members)
	}
	return domains
}

// prefersOwner reports whether this instance keeps using an owner whose part is claimed
// provisionally by another instance. It does if it considers the owner reachable and is not in the
// claimer's failure domain, which may be partitioned as a whole.
func (o *owners) prefersOwner(owner, claimer ownership.Owner) bool {
	return o.reachable(owner) && !o.inOwnDomain(claimer)
}

// inOwnDomain reports whether an owner is a member of this instance's failure domain.
func (o *owners) inOwnDomain(owner ownership.Owner) bool {
	m, known := o.member(owner)
	return known && m.FailureDomain == o.self.FailureDomain
}
