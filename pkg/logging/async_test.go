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

// blockingWriter blocks writes until it is released.
type blockingWriter struct {
	release chan struct{}
	// entered is closed on the first write.
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

var _ = Describe("an asynchronous log writer", func() {
	It("drops and counts lines while its output is blocked, and writes the others in order", func() {
		out := &blockingWriter{release: make(chan struct{}), entered: make(chan struct{})}
		log := logging.NewAsync(out)
		_, err := log.Write([]byte("line\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(out.entered).Should(BeClosed())
		start := time.Now()
		for range 20_000 {
			_, err := log.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		// The queue holds 4096 lines.
		Expect(log.Dropped()).To(Equal(uint64(20_000 - 4096)))
		close(out.release)
		log.Close()
		Expect(bytes.Count(out.Bytes(), []byte("line\n")) + int(log.Dropped())).To(Equal(20_001))
	})

	It("discards lines after it is closed", func() {
		var out bytes.Buffer
		log := logging.NewAsync(&out)
		log.Close()
		_, err := log.Write([]byte("late\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(BeEmpty())
	})
})
