package cases

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// namedLimit is the requests per second that an engine takes from all machines together, limitWindow the
	// span in which the rule counts them.
	namedLimit  = 20
	limitWindow = 4 * time.Second
	// seedLag is SeedLagS of the deployment.
	seedLag = 3 * time.Second
)

// playStaleSeeds: three machines leave as planned, and a new one comes whose seeds still name them.
func playStaleSeeds(s *stage) ([]string, error) {
	s.putConfig(10, 2)
	var servers []*server
	for n := range 2 {
		e, err := s.startServer(fmt.Sprintf("i-%08x", 0x02d9e6b4+n), "membership-ledger", []string{zoneA, zoneB}[n], 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		servers = append(servers, e)
	}
	gateways, err := s.addGateways(zoneA, zoneB, zoneC, zoneA, zoneB, zoneC)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(6 * time.Second); err != nil {
		return nil, err
	}
	leaving, staying := gateways[:3], gateways[3:]
	for _, g := range leaving {
		s.notef("%s gets SIGTERM", g.name)
		g.signal(syscall.SIGTERM)
	}
	for _, g := range leaving {
		<-g.ended
		s.notef("%s has ended", g.name)
	}
	s.mu.Lock()
	s.gateways = append([]*gateway(nil), staying...)
	s.mu.Unlock()
	stale := []string{leaving[0].peers, leaving[1].peers, leaving[2].peers}
	live := []string{staying[0].peers, staying[1].peers, staying[2].peers}
	first := stale
	if !s.trouble {
		first = live
	}
	n, err := s.newGateway("front-marousi-7", zoneA)
	if err != nil {
		return nil, err
	}
	if err := n.launch(first); err != nil {
		return nil, err
	}
	time.Sleep(seedLag)
	if err := n.writeSettings(live); err != nil {
		return nil, err
	}
	n.signal(syscall.SIGHUP)
	s.notef("the settings of %s name machines that run, it gets SIGHUP", n.name)
	if err := s.awaitReady(7 * time.Second); err != nil {
		return nil, err
	}
	for _, e := range servers {
		e.setLimit(namedLimit)
	}
	limitedAt := time.Now()
	s.notef("the engines name Server-Limit: %d in their answers", namedLimit)
	var group sync.WaitGroup
	stop := time.Now().Add(12 * time.Second)
	for i, g := range append(staying, n) {
		group.Go(func() {
			var sent sync.WaitGroup
			for k := 0; time.Now().Before(stop); k++ {
				sent.Go(func() { s.post(g, "/post/2f", fmt.Sprintf("r-%d-%d", i, k), 2*time.Second) })
				time.Sleep(20 * time.Millisecond)
			}
			sent.Wait()
		})
	}
	group.Wait()
	var broken []string
	for _, e := range servers {
		most := 0
		e.mu.Lock()
		for i, a := range e.arrivals {
			if a.at.Sub(limitedAt) < contactTime {
				continue
			}
			count := 0
			for _, b := range e.arrivals[i:] {
				if b.at.Sub(a.at) < limitWindow {
					count++
				}
			}
			most = max(most, count)
		}
		e.mu.Unlock()
		allowed := int(1.5*namedLimit*limitWindow.Seconds()) + 5
		s.notef("server %s got in at most %d requests in %v; %d are allowed", e.id, most, limitWindow, allowed)
		if most > allowed {
			broken = append(broken, fmt.Sprintf("LIMIT: server %s got in %d requests in %v, %d are allowed", e.id, most, limitWindow, allowed))
		}
	}
	return broken, nil
}
