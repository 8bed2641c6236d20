package edge

import (
	"net"
	"net/http"

	"carawaycart/io/operator"
)

// newMetricsServer serves the metrics of e to operators.
func newMetricsServer(listener net.Listener, e *Edge) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s := e.view.State()
		e.counters.Revision.Update(int64(s.At))
		e.counters.ViewAge.Update(e.clock.Now().Sub(s.Confirmed).Milliseconds())
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		operator.WriteMetrics(w, e.counters.Registry)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readyLimit}
	go func() { _ = server.Serve(listener) }()
	return server
}
