package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	startWait  = 600 * time.Millisecond
	maxWaiting = 256
)

// gatedSource provides an empty configuration and no endpoints, each once its gate is open.
type gatedSource struct{ document, endpoints chan struct{} }

func awaitGate(ctx context.Context, gate chan struct{}) error {
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s gatedSource) State(ctx context.Context, _ discovery.Progress) (discovery.State, error) {
	return discovery.State{Revision: 1}, awaitGate(ctx, s.endpoints)
}

func (s gatedSource) Document(ctx context.Context, _ discovery.Progress) (discovery.LatestDocument, error) {
	return discovery.LatestDocument{At: 1, Document: discovery.Document{Revision: 1}}, awaitGate(ctx, s.document)
}

func (gatedSource) Watch(ctx context.Context, _ revision.Revision, _ time.Duration, _ discovery.Progress) (discovery.Changes, error) {
	return discovery.Changes{}, awaitGate(ctx, nil)
}

func (gatedSource) WatchDocument(ctx context.Context, _ revision.Revision, _ time.Duration, _ discovery.Progress) (discovery.LatestDocument, error) {
	return discovery.LatestDocument{}, awaitGate(ctx, nil)
}

func (gatedSource) Decode(discovery.Document) (route.Config, error) {
	return route.Config{Version: 1}, nil
}

// noPeers stands for an instance that knows no peers. The other calls are not made.
type noPeers struct{ discovery.Peers }

func (noPeers) Contacts() []string                               { return nil }
func (noPeers) Relays() []string                                 { return nil }
func (noPeers) Holders(func(discovery.DocumentID) bool) []string { return nil }
func (noPeers) State(context.Context, revision.Revision) (discovery.PeerState, error) {
	return discovery.PeerState{}, errors.New("no peer is known")
}
func (noPeers) Announce() {}

// answer is the response that a client received. Status 0 stands for none.
type answer struct {
	status     int
	retryAfter string
	body       string
}

func (a *answer) Respond(status int, h http.Header, body []byte) {
	*a = answer{status, h.Get("Retry-After"), string(body)}
}
func (*answer) StartStream(int, http.Header) error { return nil }
func (*answer) WriteEvents([]byte) error           { return nil }
func (*answer) Abort()                             {}

// starting is an instance that has just started and whose source has not answered yet.
type starting struct {
	*WithT
	executor *gateway.Executor
	follower *discovery.Follower
	source   gatedSource
	clock    *clockwork.FakeClock
	log      *logtest.Hook
}

func newStarting(t *testing.T, wait time.Duration) *starting {
	source := gatedSource{document: make(chan struct{}), endpoints: make(chan struct{})}
	follower := discovery.New(source, noPeers{}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
	var running tomb.Tomb
	running.Go(func() error { return follower.Run(&running) })
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
	})
	logger, hook := logtest.NewNullLogger()
	clock := clockwork.NewFakeClockAt(time.Now())
	executor := gateway.New(gateway.Options{
		View:      follower.View,
		Clock:     clock,
		Log:       logrus.NewEntry(logger),
		Metrics:   metrics.NewSet(),
		StartWait: gateway.StartWait{Until: clock.Now().Add(wait), Loaded: follower.Loaded()},
	})
	return &starting{WithT: NewWithT(t), executor: executor, follower: follower, source: source, clock: clock, log: hook}
}

// run runs a request whose client waits for the given time, or an unknown time if it is 0.
func (s *starting) run(ctx context.Context, maxWait time.Duration) answer {
	got := answer{}
	s.executor.Run(ctx, &gateway.Request{ID: "id", Arrived: s.clock.Now(), MaxWait: maxWait}, &got)
	return got
}

// send runs a request in the background.
func (s *starting) send(ctx context.Context, maxWait time.Duration) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- s.run(ctx, maxWait) }()
	return done
}

// awaitWaiting returns once n requests wait.
func (s *starting) awaitWaiting(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.Expect(s.clock.BlockUntilContext(ctx, n)).To(Succeed())
}

func (s *starting) load() {
	close(s.source.document)
	close(s.source.endpoints)
}

func (s *starting) expectRefused(got answer, reason, retryAfter string) {
	s.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.Expect(got.body).To(HavePrefix(reason + ":"))
	s.Expect(got.retryAfter).To(Equal(retryAfter))
}

// expectHandled expects the response of a recently confirmed configuration without routes. The view of
// an instance without a configuration has no such age.
func (s *starting) expectHandled(got answer) {
	s.Expect(got.status).To(Equal(http.StatusNotFound))
	s.Expect(got.body).To(HavePrefix("no_route:"))
}

func TestRequestIsHandledByTheViewThatWasLoadedWhileItWaited(t *testing.T) {
	s := newStarting(t, startWait)
	done := s.send(context.Background(), 0)
	s.awaitWaiting(1)
	s.clock.Advance(100 * time.Millisecond)
	s.load()
	var got answer
	s.Eventually(done).Should(Receive(&got))
	s.expectHandled(got)
	s.Expect(s.log.LastEntry().Data).To(SatisfyAll(HaveKeyWithValue("start_wait_ms", int64(100)), HaveKeyWithValue("ms", int64(100))))
}

// An instance without endpoints would refuse all requests although it is about to learn of some.
func TestRequestWaitsForTheEndpointsToo(t *testing.T) {
	s := newStarting(t, startWait)
	close(s.source.document)
	s.Eventually(func() bool { return s.follower.View().Complete() }).Should(BeTrue())
	done := s.send(context.Background(), 0)
	s.awaitWaiting(1)
	close(s.source.endpoints)
	var got answer
	s.Eventually(done).Should(Receive(&got))
	s.expectHandled(got)
}

func TestRequestThatArrivesAfterTheFirstViewDoesNotWait(t *testing.T) {
	s := newStarting(t, startWait)
	s.load()
	s.Eventually(s.follower.Loaded()).Should(BeClosed())
	s.expectHandled(s.run(context.Background(), 0))
	s.Expect(s.log.LastEntry().Data).NotTo(HaveKey("start_wait_ms"))
}

func TestRequestIsRefusedWhenTheWaitIsOver(t *testing.T) {
	s := newStarting(t, startWait)
	done := s.send(context.Background(), 0)
	s.awaitWaiting(1)
	s.clock.Advance(startWait - time.Millisecond)
	s.Consistently(done).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	s.clock.Advance(time.Millisecond)
	var got answer
	s.Eventually(done).Should(Receive(&got))
	s.expectRefused(got, "no_configuration", "0.300")
	s.Expect(s.log.LastEntry().Data).To(HaveKeyWithValue("start_wait_ms", startWait.Milliseconds()))

	// Later requests are not delayed by a store that stays unavailable.
	s.expectRefused(s.run(context.Background(), 0), "no_configuration", "0.300")
	s.Expect(s.log.LastEntry().Data).NotTo(HaveKey("start_wait_ms"))
}

func TestRequestIsRefusedAtOnceWithoutAStartWait(t *testing.T) {
	s := newStarting(t, 0)
	s.expectRefused(s.run(context.Background(), 0), "no_configuration", "0.300")
	s.Expect(s.log.LastEntry().Data).NotTo(HaveKey("start_wait_ms"))
}

func TestRequestDoesNotWaitLongerThanItsClient(t *testing.T) {
	s := newStarting(t, startWait)
	done := s.send(context.Background(), 100*time.Millisecond)
	s.awaitWaiting(1)
	s.clock.Advance(100 * time.Millisecond)
	var got answer
	s.Eventually(done).Should(Receive(&got))
	s.expectRefused(got, "no_configuration", "0.300")
}

func TestRequestOfADisconnectedClientEndsItsWait(t *testing.T) {
	s := newStarting(t, startWait)
	ctx, disconnect := context.WithCancel(context.Background())
	done := s.send(ctx, 0)
	s.awaitWaiting(1)
	disconnect()
	var got answer
	s.Eventually(done).Should(Receive(&got))
	s.Expect(got.status).To(BeZero())
	s.Expect(s.log.LastEntry().Data).To(SatisfyAll(HaveKeyWithValue("outcome", "client_left"), HaveKey("start_wait_ms"), HaveKeyWithValue("may_have_run", false)))
}

func TestStopEndsTheWaits(t *testing.T) {
	for name, stop := range map[string]func(*gateway.Executor){
		"planned stop": (*gateway.Executor).StopStartWait,
		"drain":        (*gateway.Executor).Drain,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStarting(t, startWait)
			done := s.send(context.Background(), 0)
			s.awaitWaiting(1)
			stop(s.executor)
			var got answer
			s.Eventually(done).Should(Receive(&got))
			s.expectRefused(got, "stopping", "0.050")
			// A request that arrives during the stop does not wait either.
			s.expectRefused(s.run(context.Background(), 0), "stopping", "0.050")
		})
	}
}

// Without a bound, waiting requests and their connections would take the memory of the instance.
func TestNumberOfWaitingRequestsIsBounded(t *testing.T) {
	s := newStarting(t, startWait)
	ctx, disconnect := context.WithCancel(context.Background())
	first := s.send(ctx, 0)
	s.awaitWaiting(1)
	answers := make(chan answer, maxWaiting)
	for range maxWaiting - 1 {
		go func() { answers <- s.run(context.Background(), 0) }()
	}
	s.awaitWaiting(maxWaiting)
	var excess answer
	s.Eventually(s.send(context.Background(), 0)).Should(Receive(&excess))
	s.expectRefused(excess, "no_configuration", "0.300")

	// The place of a client that left is free again.
	disconnect()
	s.Eventually(first).Should(Receive())
	go func() { answers <- s.run(context.Background(), 0) }()
	s.awaitWaiting(maxWaiting)
	s.load()
	for range maxWaiting {
		var got answer
		s.Eventually(answers).Should(Receive(&got))
		s.expectHandled(got)
	}
}
