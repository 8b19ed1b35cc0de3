package handover

import (
	"math/rand/v2"
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// askedOfDomain is how many instances of each other failure domain are asked, to find out whether it is
// reached: one of them may have ended.
const askedOfDomain = 2

// claim makes this instance the owner of a part. Where another is known to own it, the claim is
// provisional until this instance has shown that it reaches most failure domains: that takes a
// few milliseconds after an owner has ended, and takeTimeout or longer in a cut.
func (r *Router) claim(part pipeline.Part, cause string) {
	if !r.claims.claim(part, cause) {
		return
	}
	if holder, _ := r.claims.holder(part); holder.Provisional {
		go r.confirmIfReaching(part)
	}
}

// settle has a provisional claim of this instance settled, one a second, and tells whether there is one.
// Once most failure domains are reached, the part goes back to the owner that it displaced if that one
// answers, with what was learnt meanwhile; else the claim is confirmed. In this order: where a cut heals
// between the two questions, the owner must not be the one that was asked before.
func (r *Router) settle() bool {
	own, displaced, found := r.claims.provisional(r.divisions.inForce().Parts)
	if !found {
		return false
	}
	if r.giving.Swap(true) {
		return true
	}
	go func() {
		defer r.giving.Store(false)
		if !r.reachesMost() {
			return
		}
		back := displaced.Term > 0 && r.answers(displaced.Owner)
		if holder, _ := r.claims.holder(own.Part); holder != own {
			// Another has claimed the part meanwhile.
			return
		}
		if back {
			r.giveToFirst(own.Part, []ownership.Owner{displaced.Owner}, "healed")
			return
		}
		r.claims.confirm(own.Part)
	}()
	return true
}

func (r *Router) confirmIfReaching(part pipeline.Part) {
	if r.reachesMost() {
		r.claims.confirm(part)
	}
}

// reachesMost tells whether this instance reaches more than half of the failure domains, its own included.
func (r *Router) reachesMost() bool {
	domains := r.owners.otherDomains()
	reached := make([]bool, len(domains))
	var group sync.WaitGroup
	for i, domain := range domains {
		group.Go(func() { reached[i] = r.anyAnswers(domain) })
	}
	group.Wait()
	n := 1
	for _, yes := range reached {
		n += choose(yes, 1, 0)
	}
	return 2*n > len(domains)+1
}

// anyAnswers tells whether one of a few of some members answers.
func (r *Router) anyAnswers(members []membership.Member) bool {
	asked := rand.Perm(len(members))[:min(askedOfDomain, len(members))]
	answers := make(chan bool, len(asked))
	for _, n := range asked {
		go func() { answers <- r.ping(members[n].PeerAddress) }()
	}
	for range asked {
		if <-answers {
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

// staysWith tells whether this instance goes on with an owner whose part another claims provisionally: it
// reaches that owner, as far as it knows, and is not of the claimer's failure domain, whose instances are
// cut off together.
func (o *owners) staysWith(owner, claimer ownership.Owner) bool {
	return o.reaches(owner) && !o.neighbour(claimer)
}

// neighbour tells whether an owner is a member of this instance's failure domain.
func (o *owners) neighbour(owner ownership.Owner) bool {
	m, known := o.member(owner)
	return known && m.FailureDomain == o.self.FailureDomain
}
