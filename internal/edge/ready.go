package edge

import (
	"net"
	"net/http"
	"time"
)

// readyHeaderTimeout limits the time to read the header of a readiness check. The
// fabric checks twice a second.
const readyHeaderTimeout = 2 * time.Second

// newReadyServer starts a server on listener that answers the fabric's readiness
// checks at path: with 200 if ready returns true, and with 503 otherwise.
func newReadyServer(listener net.Listener, path string, ready func() bool) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
	go func() { _ = s.Serve(listener) }()
	return s
}
