package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
)

// A lost SYN packet must not delay the connection by the TCP retransmission timeout.
func TestStaggerTakesALaterAttemptWhereTheFirstHangs(t *testing.T) {
	hanging := make(chan struct{})
	defer close(hanging)
	first, second := net.Pipe()
	defer first.Close()
	var attempts atomic.Int32
	conn, err := stagger(context.Background(), func() (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-hanging
			return nil, net.ErrClosed
		}
		return second, nil
	})
	if err != nil || conn != second {
		t.Fatalf("got %v, %v", conn, err)
	}
}

func TestStaggerEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	hanging := make(chan struct{})
	defer close(hanging)
	begun := make(chan struct{}, 100)
	go func() {
		<-begun
		cancel()
	}()
	_, err := stagger(ctx, func() (net.Conn, error) {
		begun <- struct{}{}
		<-hanging
		return nil, net.ErrClosed
	})
	if err == nil {
		t.Fatal("no error")
	}
}
