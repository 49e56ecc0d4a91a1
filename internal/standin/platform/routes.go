package platform

import (
	"encoding/json"
	"net/http"

	"github.com/banyanshift/banyanshift/internal/standin/host"
)

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	withFaults := p.faults.withFaults
	mux.HandleFunc("POST /table/get", withFaults(TableRead, p.tableGet))
	mux.HandleFunc("POST /table/scan", withFaults(TableRead, p.tableScan))
	mux.HandleFunc("POST /table/commit", withFaults(Table, p.tableCommit))
	mux.HandleFunc("GET /objects/{name...}", withFaults(Object, p.objects.get))
	mux.HandleFunc("PUT /objects/{name...}", withFaults(Object, p.objects.put))
	mux.HandleFunc("GET /vms", withFaults(VMList, p.vms.list))
	mux.HandleFunc("GET /endpoints", withFaults(Order, p.endpoints.list))
	mux.HandleFunc("POST /orders", withFaults(Order, p.endpoints.receiveOrder))
	mux.HandleFunc("POST /usage/windows", withFaults(Usage, p.usage.report))
	mux.HandleFunc("GET /weights/{model...}", p.weights.serve)

	mux.HandleFunc("PUT /vms/{id}", control(p.vms.put))
	mux.HandleFunc("DELETE /vms/{id}", control(p.vms.remove))
	mux.HandleFunc("PUT /views/{viewer}", control(p.vms.putView))
	mux.HandleFunc("PUT /hosts/{id}", control(p.endpoints.putHost))
	mux.HandleFunc("DELETE /endpoints/{id}", control(p.endpoints.reportCrash))
	mux.HandleFunc("POST /control/start", control(p.endpoints.start))
	mux.HandleFunc("POST /control/reclaim", control(p.endpoints.reclaim))
	mux.HandleFunc("POST /control/fault", control(p.setFault))
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { host.WriteJSON(w, p.Record()) })
	return withViewer(mux)
}

// control returns a handler for a call that only test rigs make. No faults apply
// to it.
func control[T any](act func(r *http.Request, in T) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if r.Method != http.MethodDelete {
			if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
				writeAnswer(w, refuse(http.StatusBadRequest, err.Error()))
				return
			}
		}
		writeAnswer(w, act(r, in))
	}
}

func (p *Platform) setFault(_ *http.Request, fault Fault) answer {
	p.faults.set(fault)
	return ok(struct{}{})
}
