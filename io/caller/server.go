package caller

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Server is an HTTP server for callers.
type Server struct {
	http *http.Server
	done chan struct{} // closed when http has stopped accepting connections
}

// NewServer serves handler on listener until Stop or Close.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

// Stop stops accepting requests and waits until the running ones have ended. If ctx
// is done first, it closes their connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return errors.Annotate(err, "stop HTTP server for callers")
}

// Close closes all connections, including those with running requests.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
