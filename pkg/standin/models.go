package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
)

// Held is a model loaded on an endpoint.
type Held struct {
	Name    string `json:"name"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// OrderSeen is an order that an endpoint received.
type OrderSeen struct {
	Model Held
	Load  bool
	Token int64
	// Refused is set if the fencing token was lower than an earlier one.
	Refused bool
}

// models contains the loaded models of an endpoint and the orders that it received.
type models struct {
	held   map[Held]bool
	orders []OrderSeen
	token  int64
}

// Orders returns the orders that the endpoint received.
func (e *Endpoint) Orders() []OrderSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderSeen(nil), e.models.orders...)
}

// SetModels sets whether models must be loaded by orders, and whether the endpoint checks the fencing
// tokens of orders.
func (e *Endpoint) SetModels(needs, checksTokens bool) {
	e.mu.Lock()
	e.settings.NeedsModels = needs
	e.settings.ChecksTokens = checksTokens
	e.mu.Unlock()
	e.publish()
}

// Holds reports whether a model is loaded.
func (e *Endpoint) Holds(m Held) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.held[m]
}

// refuseLacking rejects a call for a model that must be loaded by an order and is not, and reports whether
// it did.
func (e *Endpoint) refuseLacking(w http.ResponseWriter, r bunrouter.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.NeedsModels {
		return false
	}
	for m := range e.models.held {
		if m.Name == r.Param("model") {
			return false
		}
	}
	w.Header().Set(openinference.HeaderNotRun, openinference.NotRunModelMissing)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (e *Endpoint) index(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	list := []openinference.ModelStatus{}
	for m := range e.models.held {
		list = append(list, openinference.ModelStatus{Name: m.Name, Version: m.Version, State: "READY", Parameters: openinference.ModelParameters{Adapter: m.Adapter}})
	}
	e.mu.Unlock()
	return json.NewEncoder(w).Encode(list)
}

func (e *Endpoint) load(w http.ResponseWriter, r bunrouter.Request) error {
	return e.order(w, r, true)
}

func (e *Endpoint) unload(w http.ResponseWriter, r bunrouter.Request) error {
	return e.order(w, r, false)
}

func (e *Endpoint) order(w http.ResponseWriter, r bunrouter.Request, load bool) error {
	var body openinference.ModelOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return err
	}
	p := body.Parameters
	seen := OrderSeen{Model: Held{Name: r.Param("model"), Adapter: p.Adapter, Version: p.Version}, Load: load, Token: p.FencingToken}
	// A received order takes effect even if its sender has disconnected.
	time.Sleep(time.Duration(e.settings.LoadMs * float64(time.Millisecond)))
	e.mu.Lock()
	defer e.mu.Unlock()
	seen.Refused = e.settings.ChecksTokens && seen.Token < e.models.token
	e.models.orders = append(e.models.orders, seen)
	if seen.Refused {
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	e.models.token = max(e.models.token, seen.Token)
	if load {
		e.models.held[seen.Model] = true
	} else {
		delete(e.models.held, seen.Model)
	}
	return nil
}
