package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// operatorsHandler serves the metrics address: metrics, notices of endpoints, the status of
// rollouts, and the quarantine, from which operators can release requests.
func (g *Gateway) operatorsHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/quarantine", g.listQuarantine)
	router.DELETE("/quarantine/:digest", g.clearQuarantine)
	router.GET("/notices", g.listNotices)
	router.GET("/rollouts", g.listRollouts)
	router.GET("/*path", func(w http.ResponseWriter, _ bunrouter.Request) error {
		g.writeMetrics(w)
		return nil
	})
	return router
}

func (g *Gateway) writeMetrics(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	g.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (g *Gateway) listQuarantine(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(g.quarantine.List())
}

// clearQuarantine releases a request, or a part of prompts, at all instances.
func (g *Gateway) clearQuarantine(w http.ResponseWriter, r bunrouter.Request) error {
	digest, err := quarantine.ParseDigest(r.Param("digest"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	case !g.quarantine.IsQuarantined(digest):
		unheld := problem.New(problem.NotFound, "list what is quarantined with GET /quarantine", "no request or part with digest %s is quarantined", digest)
		http.Error(w, unheld.Error(), http.StatusNotFound)
		return nil
	}
	g.quarantine.Clear(digest)
	g.log.WithFields(logrus.Fields{"event": "quarantine_cleared", "digest": digest.String(), "by": r.RemoteAddr}).Warn()
	w.WriteHeader(http.StatusNoContent)
	return nil
}
