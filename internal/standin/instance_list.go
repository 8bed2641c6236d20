package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

// InstanceList emulates the platform's instance list. Changes become visible after a
// fixed delay.
type InstanceList struct {
	mu      sync.Mutex
	delay   time.Duration
	changes []listChange
	server  *http.Server
	url     string
}

// listChange records that an instance was added, or removed if removed is set.
// It takes effect at visibleAt.
type listChange struct {
	instance  carawaycart.ListedInstance
	removed   bool
	visibleAt time.Time
}

// NewInstanceList starts a list that listens on address, a host:port whose port may
// be 0, and publishes each change after delay.
func NewInstanceList(address string, delay time.Duration) (*InstanceList, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for instance list")
	}
	l := &InstanceList{delay: delay, url: "http://" + listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.listed()) })
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// URL returns the base URL of the list.
func (l *InstanceList) URL() string { return l.url }

// Close stops the HTTP server of the list.
func (l *InstanceList) Close() { _ = l.server.Close() }

// Add adds an instance to the list.
func (l *InstanceList) Add(i carawaycart.ListedInstance) { l.change(i, false) }

// Remove removes an instance from the list.
func (l *InstanceList) Remove(id carawaycart.InstanceID) {
	l.change(carawaycart.ListedInstance{ID: id}, true)
}

func (l *InstanceList) change(i carawaycart.ListedInstance, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{instance: i, removed: removed, visibleAt: time.Now().Add(l.delay)})
}

// listed returns the instances that are visible now.
func (l *InstanceList) listed() []carawaycart.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	instances := []carawaycart.ListedInstance{}
	for _, c := range l.changes {
		if now.Before(c.visibleAt) {
			continue
		}
		kept := instances[:0]
		for _, i := range instances {
			if i.ID != c.instance.ID {
				kept = append(kept, i)
			}
		}
		instances = kept
		if !c.removed {
			instances = append(instances, c.instance)
		}
	}
	return instances
}
