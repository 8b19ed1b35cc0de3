package quarantine_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// memoryStore keeps crashes in memory.
type memoryStore struct {
	mu      sync.Mutex
	crashes map[quarantine.Crash]bool
}

func (s *memoryStore) SaveCrashes(_ context.Context, crashes []quarantine.Crash) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range crashes {
		s.crashes[quarantine.Crash{Digest: c.Digest, Incarnation: c.Incarnation, Cleared: c.Cleared}] = true
	}
	return nil
}

func (s *memoryStore) LoadCrashes(context.Context, quarantine.Digest) ([]quarantine.Crash, error) {
	return nil, nil
}

func (s *memoryStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// lose drops all crashes.
func (s *memoryStore) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = map[quarantine.Crash]bool{}
}

var _ = Describe("a manager whose store was restored from an older copy", func() {
	It("writes the crashes that it observed again, as long as the store would keep them", func() {
		clock := clockwork.NewFakeClock()
		store := &memoryStore{crashes: map[quarantine.Crash]bool{}}
		m := quarantine.NewManager(newTable(clock), store, func() {}, clock, logging.Discard().For("quarantine"))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); m.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })

		seen, heard := quarantine.Digest{1}, quarantine.Digest{2}
		m.RecordCrash(quarantine.Subject{Request: seen}, "a@1")
		m.RecordCrash(quarantine.Subject{Request: seen}, "b@1")
		m.Merge([]quarantine.Crash{{Digest: heard, Incarnation: "a@1"}})
		Eventually(store.count).Should(Equal(2))
		restore := func() {
			store.lose()
			m.RewriteLost()
			Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
			clock.Advance(2 * time.Second)
		}
		restore()
		Eventually(store.count).Should(Equal(2), "what others observed they write themselves")
		clock.Advance(10 * time.Minute)
		restore()
		Consistently(store.count).WithTimeout(100 * time.Millisecond).Should(BeZero())
	})
})
