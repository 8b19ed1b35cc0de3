package discovery_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("a follower that starts while its source lists an older copy", func() {
	It("asks its peers and never serves by the older document", func() {
		source, peers := &fakeSource{}, &fakeSource{contacts: []string{"peer"}}
		source.set(func(s *fakeSource) { s.state = state(revision.At(1, 12), revision.At(1, 11), 3, "a") })
		peers.set(func(s *fakeSource) { s.state = state(14, 14, 5, "a") })
		f := discovery.New(source, fakePeers{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		Eventually(func(g Gomega) {
			view := f.View()
			if view.Complete() && !view.Behind(time.Now()) {
				Expect(view.Table.Version).To(Equal(uint64(5)))
			}
			g.Expect(view.Complete()).To(BeTrue())
			g.Expect(view.Table.Version).To(Equal(uint64(5)))
		}).WithPolling(100 * time.Microsecond).Should(Succeed())
	})
})
