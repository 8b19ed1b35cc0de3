package peers_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// blockingHandler answers calls when end is closed.
type blockingHandler struct{ end chan struct{} }

func (h blockingHandler) Answer(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	select {
	case <-h.end:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

// partitionProxy forwards bytes in both directions. Once partitioned, it stops reading but closes
// no connection.
type partitionProxy struct {
	listener    net.Listener
	target      string
	partitioned atomic.Bool
}

func (p *partitionProxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go p.forward(from, to)
		go p.forward(to, from)
	}
}

func (p *partitionProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		for p.partitioned.Load() {
			time.Sleep(time.Millisecond)
		}
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		for p.partitioned.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.Copy(to, strings.NewReader(string(buffer[:n]))); err != nil {
			return
		}
	}
}

var _ = Describe("a connection to a partitioned peer", func() {
	It("fails pending calls even if its send buffer is full", func() {
		handler := blockingHandler{make(chan struct{})}
		backend, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		front, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		const token = "peers-token"
		server := peers.NewServer(handler, token, nil, logging.Discard().For("peers"))
		go server.Serve(backend)
		proxy := &partitionProxy{listener: front, target: backend.Addr().String()}
		go proxy.serve()
		client := peers.NewClient("i1", token, nil)
		DeferCleanup(func() {
			proxy.partitioned.Store(false)
			close(handler.end)
			client.Close()
			server.Close()
			_ = front.Close()
			_ = backend.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		const calls = 40
		ended := make(chan error, calls+1)
		call := func(size int) {
			go func() {
				ended <- client.Call(ctx, front.Addr().String(), "pipeline.run", strings.Repeat("x", size), &struct{}{})
			}()
		}
		call(1)
		Consistently(ended).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		proxy.partitioned.Store(true)
		for range calls {
			call(1 << 20)
		}
		for range calls + 1 {
			var err error
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(&err))
			Expect(err).To(HaveOccurred())
		}
	})
})
