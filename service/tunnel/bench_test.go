package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
	"github.com/cobaltcroft/cobaltcroft/service/tunnel"
)

// messageBytes is the size of the message and of its echo in the benchmarks.
const messageBytes = 1 << 10

// BenchmarkTunnel opens a tunnel, sends a message, reads its echo and closes the tunnel. The time is
// that of both instances and the endpoint.
func BenchmarkTunnel(b *testing.B) {
	ends := echoEndpoint(b)
	server := tunnel.NewServer(ends, token, metrics.NewSet())
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	_, tunnels := peers.Split(shared)
	go func() { _ = server.Serve(tunnels) }()
	defer server.Close()
	benchmark(b, func() (net.Conn, error) {
		return tunnel.Client{Token: token}.Open(context.Background(), shared.Addr().String(), endpointID)
	})
}

// BenchmarkDirect is BenchmarkTunnel over a direct connection.
func BenchmarkDirect(b *testing.B) {
	ends := echoEndpoint(b)
	target, _ := ends.Target(endpointID)
	benchmark(b, func() (net.Conn, error) {
		return httpconn.TCPDialer{Timeout: httpconn.DefaultDialTimeout}.Dial(context.Background(), target)
	})
}

func benchmark(b *testing.B, open func() (net.Conn, error)) {
	message := make([]byte, messageBytes)
	b.ReportAllocs()
	for b.Loop() {
		conn, err := open()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, message); err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}

// echoEndpoint starts an endpoint that sends back what it receives.
func echoEndpoint(b *testing.B) *endpoints {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return &endpoints{address: listener.Addr().String(), path: reach.Direct}
}
