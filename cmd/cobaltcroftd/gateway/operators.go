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

// operatorsFace is what the metrics address serves: figures, what endpoints said in their answers, how rollouts
// stand, and the requests that are refused since they end their endpoints, of which an operator may let one go at all instances.
func (g *Gateway) operatorsFace() http.Handler {
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

// clearQuarantine lets a request go. Its ends are taken back, here and wherever this is told.
func (g *Gateway) clearQuarantine(w http.ResponseWriter, r bunrouter.Request) error {
	digest, err := quarantine.ParseDigest(r.Param("digest"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	case !g.quarantine.IsQuarantined(digest):
		unheld := problem.New(problem.NotFound, "list those that are with GET /quarantine", "no request with digest %s is refused here", digest)
		http.Error(w, unheld.Error(), http.StatusNotFound)
		return nil
	}
	g.quarantine.Clear(digest)
	g.log.WithFields(logrus.Fields{"event": "quarantine_cleared", "digest": digest.String(), "by": r.RemoteAddr}).Warn()
	w.WriteHeader(http.StatusNoContent)
	return nil
}
