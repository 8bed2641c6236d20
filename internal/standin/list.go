package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

// List is a stand-in for the platform's instance list, which lags.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []listChange
	server  *http.Server
	url     string
}

// listChange is an instance that appeared, or went if gone.
type listChange struct {
	instance carawaycart.ListedInstance
	gone     bool
	visible  time.Time
}

// NewList returns a running list that listens on a free port of address, an IP
// number, and shows changes after lag.
func NewList(address string, lag time.Duration) (*List, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for list")
	}
	l := &List{lag: lag, url: "http://" + listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.listed()) })
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// URL returns the address of the list.
func (l *List) URL() string { return l.url }

// Close stops the list.
func (l *List) Close() { _ = l.server.Close() }

// Add lists an instance.
func (l *List) Add(i carawaycart.ListedInstance) { l.change(i, false) }

// Remove takes an instance off the list.
func (l *List) Remove(id carawaycart.InstanceID) {
	l.change(carawaycart.ListedInstance{ID: id}, true)
}

func (l *List) change(i carawaycart.ListedInstance, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{instance: i, gone: gone, visible: time.Now().Add(l.lag)})
}

func (l *List) listed() []carawaycart.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	instances := []carawaycart.ListedInstance{}
	for _, c := range l.changes {
		if now.Before(c.visible) {
			continue
		}
		kept := instances[:0]
		for _, i := range instances {
			if i.ID != c.instance.ID {
				kept = append(kept, i)
			}
		}
		instances = kept
		if !c.gone {
			instances = append(instances, c.instance)
		}
	}
	return instances
}
