package cases

import (
	"net/http"
	"net/http/httptest"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// deployment is a small deployment: the platform's store, engines and processes of the system.
type deployment struct {
	*bench
	store    *platformtest.Store
	server   *httptest.Server
	engines  []*engine
	gateways []*gateway
	zones    map[string]string
	version  int
}

func (b *bench) newDeployment(zones ...string) *deployment {
	store := platformtest.NewStore()
	d := &deployment{bench: b, store: store, server: httptest.NewServer(http.Handler(store)), zones: map[string]string{}}
	for _, zone := range zones {
		d.zones[zone] = "attica"
	}
	return d
}

func (d *deployment) storeAddress() string { return d.server.Listener.Addr().String() }

// addEngine starts an engine and writes its entry.
func (d *deployment) addEngine(service, zone string, slots int) (*engine, error) {
	e, err := newEngine(service, zone, slots, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.engines = append(d.engines, e)
	d.store.Put("servers/"+e.id, e.entry("ready"))
	return e, nil
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(routes []platformtest.Route, services []map[string]any) {
	d.version += 3
	for i := range routes {
		routes[i].Host, routes[i].Public = host, true
	}
	d.store.Put("op/config", platformtest.Config{
		Version: d.version, Routes: routes, Services: services,
		Limits:  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants: []map[string]any{{"Name": "gym", "ApiKeys": []string{"9dnn2ctnfzs989anu6ws"}}},
	})
}

// startGateways starts one process per zone named, and waits until all are ready.
func (d *deployment) startGateways(m machine, zones ...string) bool {
	for i, zone := range zones {
		g := d.newGateway("front-"+zone+"-"+string(rune('1'+i)), zone)
		d.gateways = append(d.gateways, g)
	}
	var seeds []string
	for _, g := range d.gateways[:min(3, len(d.gateways))] {
		seeds = append(seeds, g.peers)
	}
	for _, g := range d.gateways {
		if g.writeSettings(d.zones, m, seeds, d.storeAddress(), d.storeAddress()) != nil || g.start() != nil {
			return false
		}
	}
	return waitReady(d.gateways, contact*2)
}
