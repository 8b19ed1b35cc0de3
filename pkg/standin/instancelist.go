package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra/httpsd"
)

// Instance is an entry of the list.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	ChecksTokens  bool   `json:"checks_tokens,omitempty"`
}

// InstanceList is a fake of the platform's instance list.
type InstanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	current map[string]Instance
	history []listVersion
}

type listVersion struct {
	at   time.Time
	body []byte
}

// NewInstanceList returns an empty list whose changes become visible after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{lag: lag, current: map[string]Instance{}}
	l.record()
	return l
}

// Set adds or replaces an entry.
func (l *InstanceList) Set(i Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[i.Name] = i
	l.record()
}

// SetAll adds or replaces several entries at once.
func (l *InstanceList) SetAll(instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range instances {
		l.current[i.Name] = i
	}
	l.record()
}

// SetLag sets the delay after which changes become visible.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
	l.trim()
}

func (l *InstanceList) record() {
	groups := make([]httpsd.Group, 0, len(l.current))
	for _, i := range l.current {
		groups = append(groups, group(i))
	}
	body, _ := json.Marshal(groups)
	l.history = append(l.history, listVersion{at: time.Now(), body: body})
}

// trim drops versions that are no longer visible.
func (l *InstanceList) trim() {
	for len(l.history) > 1 && time.Since(l.history[1].at) >= l.lag {
		l.history = l.history[1:]
	}
}

func group(i Instance) httpsd.Group {
	state := "live"
	if i.Leaving {
		state = "leaving"
	}
	return httpsd.Group{Targets: []string{i.Address}, Labels: map[string]string{
		httpsd.LabelName:          i.Name,
		httpsd.LabelService:       i.Service,
		httpsd.LabelFailureDomain: i.FailureDomain,
		httpsd.LabelState:         state,
		httpsd.LabelIncarnation:   strconv.FormatUint(i.Incarnation, 10),
		httpsd.LabelChecksTokens:  strconv.FormatBool(i.ChecksTokens),
	}}
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.trim()
	body := l.history[0].body
	l.mu.Unlock()
	tag := `"` + digest(string(body)) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
