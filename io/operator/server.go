package operator

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
)

const readHeaderTimeout = 5 * time.Second

// Status is the status of an instance, and its view of the instances, endpoints and
// services.
type Status struct {
	Instance carawaycart.InstanceID `json:"instance"`
	Zone     carawaycart.ZoneID     `json:"zone"`
	State    string                 `json:"state"`
	// Revision is that of the configuration or, without one, of the store. It is zero
	// if none was read.
	Revision  carawaycart.Revision `json:"revision"`
	Members   []MemberStatus       `json:"members"`
	Endpoints []EndpointStatus     `json:"endpoints"`
	Services  []ServiceStatus      `json:"services"`
	Alarms    []string             `json:"alarms"` // conditions that need attention, as texts
}

// MemberStatus is the status of one instance in the view of the instance queried.
type MemberStatus struct {
	ID       carawaycart.InstanceID `json:"id"`
	Zone     carawaycart.ZoneID     `json:"zone"`
	State    string                 `json:"state"`
	Revision carawaycart.Revision   `json:"revision"` // of its configuration, zero if not known
}

// EndpointStatus is the status of one endpoint in the view of the instance
// queried.
type EndpointStatus struct {
	ID      carawaycart.EndpointID   `json:"id"`
	Service carawaycart.ServiceID    `json:"service"`
	Zone    carawaycart.ZoneID       `json:"zone"`
	Mark    carawaycart.EndpointMark `json:"mark,omitempty"` // empty if there is none
	// State is the name of the state in which the instance queried sees the endpoint.
	State string `json:"state"`
	// Evidence says what the state is based on, with ages; empty if nothing speaks
	// against the endpoint.
	Evidence string `json:"evidence,omitempty"`
	// Guarded is whether packets of the endpoint's slots must pass through the keeper.
	Guarded bool `json:"guarded"`
	// Keeper is the instance that published the status, empty if there is none.
	Keeper carawaycart.InstanceID `json:"keeper"`
}

// ServiceStatus is the status of one service in the view of the instance queried.
type ServiceStatus struct {
	ID         carawaycart.ServiceID   `json:"id"`
	Profile    carawaycart.ProfileName `json:"profile"`
	Slots      int                     `json:"slots"`      // size of the slot table
	DirtySlots int                     `json:"dirtySlots"` // slots whose base and current endpoints differ
}

// FlowExplanation describes where the packets of a flow are forwarded and why. An
// instance whose configuration has no slots leaves the fields Slot, Base, Keeper,
// Clean and Record empty.
type FlowExplanation struct {
	Service carawaycart.ServiceID `json:"service"`
	Slot    carawaycart.SlotIndex `json:"slot"` // of the flow in the service's slot table
	// Revision is that of the configuration or, without one, of the store.
	Revision carawaycart.Revision   `json:"revision"`
	Base     carawaycart.EndpointID `json:"base"` // of the slot
	// Current is the current endpoint of the slot or, without slots, the endpoint of
	// the flow.
	Current carawaycart.EndpointID `json:"current"`
	Keeper  carawaycart.InstanceID `json:"keeper"` // of the current endpoint
	// Clean is whether all packets of the slot go to its base without the keeper.
	Clean bool `json:"clean"`
	// Record is the endpoint in the flow's record, empty if there is none.
	Record    carawaycart.EndpointID `json:"record,omitempty"`
	OpenedAt  time.Time              `json:"openedAt,omitzero"` // when the flow was opened, zero if not known
	Rule      string                 `json:"rule"`              // the rule that selects the endpoint, as a text
	DecidedBy carawaycart.InstanceID `json:"decidedBy"`         // the instance queried
}

// KeyExplanation describes what the instance knows about a keyed request.
type KeyExplanation struct {
	Key      carawaycart.IdempotencyKey `json:"key"`
	Keeper   carawaycart.InstanceID     `json:"keeper"`
	Replicas []carawaycart.InstanceID   `json:"replicas"` // instances that store copies of the claim
	// Held is whether the instance queried has a claim with this key.
	Held  bool   `json:"held"`
	State string `json:"state,omitempty"` // of the claim, empty if Held is false
	// Entry is the instance that received the request, empty if Held is false.
	Entry carawaycart.InstanceID `json:"entry,omitempty"`
}

// Handler answers the queries of operators.
type Handler interface {
	// Status returns the status of the instance.
	Status() Status
	// ExplainFlow returns where the packets of the flow with key are forwarded. The
	// error is NotFound if the instance has no service, route or endpoint for the
	// flow.
	ExplainFlow(key carawaycart.FlowKey) (FlowExplanation, error)
	// ExplainKey returns what the instance knows about the request with key.
	ExplainKey(key carawaycart.IdempotencyKey) KeyExplanation
}

// Server is the HTTP server for operators.
type Server struct {
	http *http.Server
	done chan struct{} // closed when http has stopped accepting connections
}

// NewServer serves the answers of handler and the metrics of registry on listener
// until Close.
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
	s := &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

// writeJSON writes v as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
