package cases

import (
	"fmt"
	"sync"
	"time"
)

const (
	// shortDown is how long the crashed engine is down.
	shortDown = 300 * time.Millisecond
	// longPause is how long a client waits before it takes its stream up again.
	longPause = 2 * time.Second
	// minTakenUp is how many streams have to be taken up for the rule to count them.
	minTakenUp = 12
	// steadyPause is the time between two new streams of the steady traffic, steadyStreams their number.
	steadyPause   = 25 * time.Millisecond
	steadyStreams = 280
	// crashAfter is the number of streams after which the engine crashes.
	crashAfter = 200
)

// playCrashedEngine: one of four engines of a single software version crashes under steady traffic, and is back
// under its id as the same version.
func playCrashedEngine(s *stage) ([]string, error) {
	s.putConfig(10, 1)
	zones := []string{zoneA, zoneB, zoneC}
	var engines []*engine
	for n := range 4 {
		e, err := s.startEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), "cobalt-llm", zones[n%3], "4.1", 60, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	gateways, err := s.addGateways(zones...)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	crashed := engines[1]
	cut := make(chan struct{})
	clients := make([]*streamClient, steadyStreams)
	var group sync.WaitGroup
	for i := range clients {
		c := &streamClient{stage: s, name: fmt.Sprintf("c%03d", i)}
		clients[i] = c
		group.Go(func() {
			// Without the crash every fourth client breaks its stream off.
			end := cut
			if i%4 != 0 || i >= crashAfter {
				end = nil
			}
			c.receive(gateways[0], 1, "/stream/2f", 15*time.Second, end)
			if c.complete || c.first == "" {
				return
			}
			time.Sleep(longPause)
			c.receive(gateways[1+i%2], 2, "/stream/2f", 15*time.Second, nil)
		})
		time.Sleep(steadyPause)
		if i == crashAfter {
			s.breakOff(crashed, cut)
		}
	}
	group.Wait()
	begun, fresh, takenUp, wentOn := 0, 0, 0, 0
	for i, c := range clients {
		if i > crashAfter {
			fresh++
			if c.first != "" {
				begun++
			}
		}
		if len(c.statuses) > 1 {
			takenUp++
			if c.statuses[1] == "200" {
				wentOn++
			}
		}
	}
	s.notef("%d streams were taken up again, %d of them went on; of %d new streams since then %d began", takenUp, wentOn, fresh, begun)
	if takenUp >= minTakenUp && 2*wentOn*fresh < begun*takenUp {
		return []string{fmt.Sprintf("LOST: of %d streams that clients took up again %d went on, of %d new streams %d began, while four engines of their software version served", takenUp, wentOn, fresh, begun)}, nil
	}
	return nil, nil
}

// breakOff breaks streams: with trouble the engine crashes and is back soon, without it some clients close their
// connections.
func (s *stage) breakOff(e *engine, cut chan struct{}) {
	if !s.trouble {
		s.notef("every fourth client closes its connection")
		close(cut)
		return
	}
	s.notef("engine %s crashes", e.id)
	e.crash()
	time.AfterFunc(shortDown, func() {
		if err := e.start("4.1"); err != nil {
			s.notef("the engine can't start: %v", err)
			return
		}
		e.register()
		s.notef("engine %s is back under its id, as the same software, and has written its entry", e.id)
	})
}
