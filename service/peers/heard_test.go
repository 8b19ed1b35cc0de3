package peers

import (
	"net"
	"testing"
	"time"
)

// A peer is silent while its bytes are waited for, and not while nobody reads since a message is being parsed.
func TestSilenceIsTheTimeThatBytesAreWaitedFor(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &heardConn{Conn: near}
	time.Sleep(5 * time.Millisecond)
	if silence := conn.silence(); silence != 0 {
		t.Errorf("%s of silence while nobody reads", silence)
	}
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	for begin := time.Now(); conn.silence() < 5*time.Millisecond; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("no silence though bytes are waited for")
		}
	}
	if _, err := far.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	if silence := conn.silence(); silence != 0 {
		t.Errorf("%s of silence after bytes came", silence)
	}
}
