package standin_test

import (
	"net"
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

// Guards against an endpoint that accepts connections after it was killed right after its start.
func TestAKilledEndpointRefusesConnections(t *testing.T) {
	for n := range 200 {
		e := standin.NewEndpoint(standin.EndpointSettings{Name: "e", Service: "s", Listen: "127.0.0.1:0"}, standin.NewInstanceList(0))
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		e.Kill()
		if conn, err := net.Dial("tcp", e.Address()); err == nil {
			_ = conn.Close()
			t.Fatalf("endpoint %d took a connection after its end", n)
		}
	}
}
