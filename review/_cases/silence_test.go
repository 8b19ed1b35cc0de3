package cases

import (
	"fmt"
	"sync"
	"time"
)

const (
	// contactTime and drainTime are ContactMs and DrainMs of the deployment.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// serverWork is how long a server works on a request.
	serverWork = 300 * time.Millisecond
	// serveOn is how long an engine serves on after its entry has gone: DrainMs and a little longer.
	serveOn = drainTime + 1200*time.Millisecond
)

// playSilentStore: one of eight servers is replaced. Between the start of the new one and the moment in
// which the entry of the old one goes, the open connections to the store go silent.
func playSilentStore(s *stage) ([]string, error) {
	s.putConfig(10, 2)
	p, err := s.startProxy(s.address)
	if err != nil {
		return nil, err
	}
	s.address = p.address()
	zones := []string{zoneA, zoneB, zoneC}
	var servers []*server
	add := func(n int) error {
		e, err := s.startServer(fmt.Sprintf("i-%08x", 0x02d9e6b4+n), "membership-ledger", zones[n%3], serverWork)
		servers = append(servers, e)
		return err
	}
	for n := range 8 {
		if err := add(n); err != nil {
			return nil, err
		}
	}
	gateways, err := s.addGateways(zones...)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(5 * time.Second); err != nil {
		return nil, err
	}
	for i, g := range gateways {
		s.post(g, "/post/2f", fmt.Sprintf("before-%d", i), 4*time.Second)
	}
	if err := add(8); err != nil {
		return nil, err
	}
	s.notef("the new server %s has started, its entry stands", servers[8].id)
	time.Sleep(200 * time.Millisecond)
	silentAt := time.Now()
	if s.trouble {
		s.notef("%d open connections to the store go silent", p.silence())
	}
	time.Sleep(300 * time.Millisecond)
	old := servers[1]
	old.leave()
	goneAt := time.Now()
	s.notef("the entry of the old server %s goes; it serves on for %v", old.id, serveOn)
	time.AfterFunc(serveOn, func() {
		s.notef("the old server %s ends", old.id)
		old.end()
	})
	time.Sleep(time.Until(silentAt.Add(contactTime + 50*time.Millisecond)))
	s.notef("all machines are in touch again")
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 24 {
		group.Go(func() {
			status := s.post(gateways[n%3], "/post/2f", fmt.Sprintf("after-%d", n), 4*time.Second)
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	s.notef("answers: %v", statuses)
	var broken []string
	old.mu.Lock()
	defer old.mu.Unlock()
	for _, a := range old.arrivals {
		if a.at.Sub(goneAt) > drainTime && a.at.Sub(silentAt) > contactTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached server %s %v after the store had acknowledged that it is gone, and %v after the connections had gone silent; run to its end: %v", a.id, old.id, a.at.Sub(goneAt).Round(time.Millisecond), a.at.Sub(silentAt).Round(time.Millisecond), a.ended))
		}
	}
	return broken, nil
}
