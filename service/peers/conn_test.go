package peers

import (
	"net"
	"testing"
	"time"
)

// Only a blocked Read counts as silence, not the time in which a message is decoded.
func TestSilenceIsTheTimeThatBytesAreWaitedFor(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &monitoredConn{Conn: near}
	time.Sleep(5 * time.Millisecond)
	if silence := conn.silence(); silence != 0 {
		t.Errorf("silence is %s without a Read, want 0", silence)
	}
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	for begin := time.Now(); conn.silence() < 5*time.Millisecond; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("silence does not grow while Read is blocked")
		}
	}
	if _, err := far.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	if silence := conn.silence(); silence != 0 {
		t.Errorf("silence is %s after Read returned, want 0", silence)
	}
}
