package host

import (
	"encoding/json"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// StartReply is the response to a Spec.
type StartReply struct {
	Address string
}

// EndpointRef is the body of a control call about one endpoint. Only
// /endpoints/stop uses Grace, and only /control/fault uses Fault.
type EndpointRef struct {
	ID    string
	Grace clock.Millis
	Fault Fault
}

func (h *Host) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/start", h.serveStart)
	mux.HandleFunc("POST /endpoints/leave", h.handleRef(func(ref EndpointRef) { h.MarkLeaving(ref.ID) }))
	mux.HandleFunc("POST /endpoints/stop", h.handleRef(func(ref EndpointRef) { h.Stop(ref.ID, ref.Grace) }))
	mux.HandleFunc("POST /endpoints/kill", h.handleRef(func(ref EndpointRef) { h.Kill(ref.ID) }))
	mux.HandleFunc("POST /control/fault", h.handleRef(func(ref EndpointRef) { h.SetFault(ref.ID, ref.Fault) }))
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, h.Record()) })
	return mux
}

func (h *Host) serveStart(w http.ResponseWriter, r *http.Request) {
	var spec Spec
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	address, err := h.StartEndpoint(r.Context(), spec)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	WriteJSON(w, StartReply{Address: address})
}

func (h *Host) handleRef(act func(ref EndpointRef)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ref EndpointRef
		if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		act(ref)
		WriteJSON(w, struct{}{})
	}
}

// WriteJSON answers with status 200 and value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
