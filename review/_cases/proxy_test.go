package cases

import (
	"io"
	"net"
	"sync"
)

// proxy carries the connections of the gateways to the store. Open ones can go silent for good, without a
// reset, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn
	silent         chan struct{}
}

func (s *stage) startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]struct{}{}}
	go p.accept()
	s.onClose(func() { _ = listener.Close() })
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *proxy) serve(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, target: target, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(target, caller) })
	both.Go(func() { l.forward(caller, target) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// forward copies one direction. Once the link is silent, it carries nothing on, not even an end.
func (l *link) forward(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			if from == l.caller && err == nil {
				_, _ = io.Copy(io.Discard, from)
			}
			return
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		select {
		case <-l.silent:
		default:
			close(l.silent)
			n++
		}
	}
	return n
}
