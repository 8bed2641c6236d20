package caller

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Server accepts requests of callers.
type Server struct {
	http *http.Server
	done chan struct{}
}

// NewServer serves handler on listener until Stop.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readLimit,
			IdleTimeout:       idleLimit,
			MaxHeaderBytes:    maxHeaders,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

// Stop accepts no more requests and waits for those that are running, until
// ctx ends; then it cuts them off.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return errors.Annotate(err, "stop request server")
}

// Close cuts all requests off.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
