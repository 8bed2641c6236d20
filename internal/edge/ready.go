package edge

import (
	"net"
	"net/http"
	"time"
)

const readyLimit = 2 * time.Second // for a question of the fabric, which asks twice a second

// newReadyServer serves the fabric's question whether to send packets.
func newReadyServer(listener net.Listener, path string, ready func() bool) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: readyLimit}
	go func() { _ = s.Serve(listener) }()
	return s
}
