package cases

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	zoneA, zoneB, zoneC = "marousi", "piraeus", "glyfada"
	// downTime is how long the crashed engines are down.
	downTime = 500 * time.Millisecond
	// heartbeat is the time between two writes of an engine's entry; the first one of an incarnation is due
	// that long after its start.
	heartbeat = 1200 * time.Millisecond
	// clientPause is how long a client waits before it takes its stream up again.
	clientPause = 700 * time.Millisecond
	streamCount = 40
)

// playRestartedVersions: a service runs two software versions. Its two engines of the older one crash, and
// are back under their ids as the newer one.
func playRestartedVersions(s *stage) ([]string, error) {
	s.putConfig(10, 2)
	var old []*engine
	for i, e := range []struct{ zone, version string }{
		{zoneA, "4.1"},
		{zoneB, "4.1"},
		{zoneA, "4.2"},
		{zoneA, "4.2"},
		{zoneB, "4.2"},
		{zoneB, "4.2"},
		{zoneC, "4.2"},
		{zoneC, "4.2"},
	} {
		started, err := s.startEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "cobalt-llm", e.zone, e.version, 70, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if e.version == "4.1" {
			old = append(old, started)
		}
	}
	gateways, err := s.addGateways(zoneA, zoneB, zoneC)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(4 * time.Second); err != nil {
		return nil, err
	}
	cut := make(chan struct{})
	clients := make([]*streamClient, streamCount)
	var group sync.WaitGroup
	for i := range clients {
		c := &streamClient{stage: s, name: fmt.Sprintf("c%02d", i)}
		clients[i] = c
		group.Go(func() {
			c.receive(gateways[0], 1, "/stream/2f", 15*time.Second, cut)
			if c.complete || c.first == "" {
				return
			}
			time.Sleep(clientPause)
			c.receive(gateways[1+i%2], 2, "/stream/2f", 15*time.Second, nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		for _, e := range old {
			s.notef("engine %s crashes", e.id)
			e.crash()
		}
		time.Sleep(downTime)
		for _, e := range old {
			if err := e.start("4.2"); err != nil {
				return nil, err
			}
			s.notef("engine %s is back under its id, as software 4.2", e.id)
		}
		time.AfterFunc(heartbeat, func() {
			for _, e := range old {
				e.register()
				s.notef("engine %s writes its entry", e.id)
			}
		})
	} else {
		s.notef("the clients close their connections")
		close(cut)
	}
	group.Wait()
	var mixed []string
	complete, resumed, goneOn := 0, 0, 0
	for _, c := range clients {
		if c.complete {
			complete++
		}
		if len(c.statuses) > 1 {
			resumed++
			if c.statuses[1] == "200" {
				goneOn++
			}
		}
		if len(c.versions) > 1 {
			mixed = append(mixed, c.first)
		}
	}
	s.notef("%d streams, %d of them complete; %d taken up again, %d of these went on; %d hold events of two software versions: %s", len(clients), complete, resumed, goneOn, len(mixed), strings.Join(mixed, " "))
	if len(mixed) > 2 {
		return []string{fmt.Sprintf("ORDER: %d streams hold events from engines of two software versions of one service", len(mixed))}, nil
	}
	return nil, nil
}
