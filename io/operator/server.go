package operator

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
)

const readLimit = 5 * time.Second

// Status is what an instance tells operators about itself and the fleet.
type Status struct {
	Instance  carawaycart.InstanceID `json:"instance"`
	Zone      carawaycart.ZoneID     `json:"zone"`
	State     string                 `json:"state"`
	Revision  carawaycart.Revision   `json:"revision"`
	Members   []MemberStatus         `json:"members"`
	Endpoints []EndpointStatus       `json:"endpoints"`
	Services  []ServiceStatus        `json:"services"`
	Alarms    []string               `json:"alarms"`
}

// MemberStatus is one instance as the asked one sees it.
type MemberStatus struct {
	ID       carawaycart.InstanceID `json:"id"`
	Zone     carawaycart.ZoneID     `json:"zone"`
	State    string                 `json:"state"`
	Revision carawaycart.Revision   `json:"revision"`
}

// EndpointStatus is one endpoint as the asked instance sees it.
type EndpointStatus struct {
	ID      carawaycart.EndpointID   `json:"id"`
	Service carawaycart.ServiceID    `json:"service"`
	Zone    carawaycart.ZoneID       `json:"zone"`
	Mark    carawaycart.EndpointMark `json:"mark,omitempty"`
	State   string                   `json:"state"`
	Guarded bool                     `json:"guarded"`
	Keeper  carawaycart.InstanceID   `json:"keeper"`
}

// ServiceStatus is one service as the asked instance sees it.
type ServiceStatus struct {
	ID         carawaycart.ServiceID   `json:"id"`
	Profile    carawaycart.ProfileName `json:"profile"`
	Slots      int                     `json:"slots"`
	DirtySlots int                     `json:"dirtySlots"`
}

// FlowExplanation tells where a flow's packets go and why.
type FlowExplanation struct {
	Service   carawaycart.ServiceID  `json:"service"`
	Slot      carawaycart.SlotIndex  `json:"slot"`
	Revision  carawaycart.Revision   `json:"revision"`
	Base      carawaycart.EndpointID `json:"base"`
	Current   carawaycart.EndpointID `json:"current"`
	Keeper    carawaycart.InstanceID `json:"keeper"`
	Clean     bool                   `json:"clean"`
	Record    carawaycart.EndpointID `json:"record,omitempty"`
	OpenedAt  time.Time              `json:"openedAt,omitzero"`
	Rule      string                 `json:"rule"`
	DecidedBy carawaycart.InstanceID `json:"decidedBy"`
}

// KeyExplanation tells what is known of a keyed request.
type KeyExplanation struct {
	Key      carawaycart.IdempotencyKey `json:"key"`
	Keeper   carawaycart.InstanceID     `json:"keeper"`
	Replicas []carawaycart.InstanceID   `json:"replicas"`
	Held     bool                       `json:"held"`
	State    string                     `json:"state,omitempty"`
	Entry    carawaycart.InstanceID     `json:"entry,omitempty"`
}

// Handler answers operators.
type Handler interface {
	// Status returns the status of the instance.
	Status() Status
	// ExplainFlow returns where packets of key go; the error is NotFound.
	ExplainFlow(key carawaycart.FlowKey) (FlowExplanation, error)
	// ExplainKey returns what is known of key.
	ExplainKey(key carawaycart.IdempotencyKey) KeyExplanation
}

// Server serves operators over HTTP.
type Server struct {
	http *http.Server
	done chan struct{}
}

// NewServer serves handler and the metrics of registry on listener until Close.
func NewServer(listener net.Listener, handler Handler, registry metrics.Registry) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		WriteMetrics(w, registry)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, handler.Status()) })
	mux.HandleFunc("GET /explain/flow", func(w http.ResponseWriter, r *http.Request) {
		key, err := ParseFlow(r.FormValue("protocol"), r.FormValue("caller"), r.FormValue("service"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e, err := handler.ExplainFlow(key)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		writeJSON(w, e)
	})
	mux.HandleFunc("GET /explain/key", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, handler.ExplainKey(carawaycart.IdempotencyKey(r.FormValue("key"))))
	})
	s := &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: readLimit}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// Close stops the server.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
