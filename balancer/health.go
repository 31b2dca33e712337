package balancer

import (
	"encoding/json"
	"net/http"
)

// Health handles the load balancer's health checks. It returns status 200 if the
// host is in the phase Serving and ready, and 503 otherwise.
func (g *Gate) Health() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body := struct {
			Ready  bool   `json:"ready"`
			Phase  Phase  `json:"phase"`
			Reason string `json:"reason,omitempty"`
		}{Phase: g.Phase()}
		status := http.StatusServiceUnavailable
		if err := g.ready(); err != nil {
			body.Reason = err.Error()
		} else if body.Phase == Serving {
			body.Ready, status = true, http.StatusOK
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}
