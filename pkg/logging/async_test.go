package logging_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

// blocked is an output that takes nothing until it is let go.
type blocked struct {
	release chan struct{}
	// entered is closed when a write waits.
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

var _ = Describe("a log that never blocks", func() {
	It("drops and counts lines while its output takes none, and writes the others in order", func() {
		out := &blocked{release: make(chan struct{}), entered: make(chan struct{})}
		log := logging.NewAsync(out)
		_, err := log.Write([]byte("line\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(out.entered).Should(BeClosed())
		begin := time.Now()
		for range 20_000 {
			_, err := log.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		// All but those that wait in the queue, since none is taken from it meanwhile.
		Expect(log.Dropped()).To(Equal(uint64(20_000 - 4096)))
		close(out.release)
		log.Close()
		Expect(bytes.Count(out.Bytes(), []byte("line\n")) + int(log.Dropped())).To(Equal(20_001))
	})

	It("takes lines after it was closed, and drops them", func() {
		var out bytes.Buffer
		log := logging.NewAsync(&out)
		log.Close()
		_, err := log.Write([]byte("late\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(BeEmpty())
	})
})
