package cases

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
)

// links are the links between one machine and all engines. Each engine has an address of its own for the
// machine, at which it accepts connections itself, so that it knows from which machine a call comes. The
// machine reads these addresses from its view of the store.
type links struct {
	*deployment
	machine string
	server  *httptest.Server

	mu  sync.Mutex
	cut bool
	// ends are the ends of the links by engine id.
	ends map[string]*linkEnd
}

// linkEnd is the end of a link at an engine.
type linkEnd struct {
	engine   *engine
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
}

func (d *deployment) newLinks(machine string) *links {
	l := &links{deployment: d, machine: machine, ends: map[string]*linkEnd{}}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.storeAddress()})
	proxy.ModifyResponse = l.rewrite
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	l.server = httptest.NewServer(proxy)
	for _, e := range d.engines {
		end := &linkEnd{engine: e, address: d.address(), conns: map[net.Conn]bool{}}
		l.ends[e.id] = end
		if l.open(end) != nil {
			return nil
		}
	}
	return l
}

func (l *links) storeView() string { return l.server.Listener.Addr().String() }

// open accepts connections at the end of a link.
func (l *links) open(end *linkEnd) error {
	listener, err := net.Listen("tcp", end.address)
	if err != nil {
		return err
	}
	end.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			end.conns[c] = true
			l.mu.Unlock()
			go end.engine.serve(viaConn{c, l.machine})
		}
	}()
	return nil
}

// setCut cuts or heals all links of the machine: connections are reset and new ones are refused.
func (l *links) setCut(cut bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, end := range l.ends {
		if !cut {
			if err := l.open(end); err != nil {
				return err
			}
			continue
		}
		_ = end.listener.Close()
		for c := range end.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		end.conns = map[net.Conn]bool{}
	}
	return nil
}

// viaConn is a connection that comes from a machine.
type viaConn struct {
	net.Conn
	machine string
}

// rewrite replaces the addresses of engines in an answer of the store.
func (l *links) rewrite(r *http.Response) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	var body map[string]json.RawMessage
	if json.Unmarshal(data, &body) == nil {
		for _, field := range []string{"Items", "events"} {
			var items []map[string]any
			if json.Unmarshal(body[field], &items) != nil {
				continue
			}
			for _, item := range items {
				l.rewriteItem(item)
			}
			body[field], _ = json.Marshal(items)
		}
		data, _ = json.Marshal(body)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	r.ContentLength = int64(len(data))
	r.Header.Del("Content-Length")
	return nil
}

func (l *links) rewriteItem(item map[string]any) {
	key, _ := item["TlsKey"].(string)
	id, isEngine := strings.CutPrefix(key, "servers/")
	value, hasValue := item["Value"].(string)
	end := l.ends[id]
	if !isEngine || !hasValue || end == nil {
		return
	}
	var raw []byte
	if json.Unmarshal([]byte(`"`+value+`"`), &raw) != nil {
		return
	}
	var entry map[string]any
	if json.Unmarshal(raw, &entry) != nil {
		return
	}
	entry["Address"] = end.address
	changed, _ := json.Marshal(entry)
	item["Value"] = changed
}
