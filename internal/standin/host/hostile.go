package host

import (
	"net/http"

	"github.com/banyanshift/banyanshift/internal/standin/hostile"
)

// AnswerParameter is the query parameter that names the answer of package hostile to a request.
const AnswerParameter = "answer"

// setAnswer sets the answer that takes the place of all others, "" for none.
func (r *hostedEndpoint) setAnswer(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = name
}

// serve serves a request, or sends a hostile answer in its place.
func (r *hostedEndpoint) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	name := r.answer
	r.mu.Unlock()
	if name == "" {
		name = request.URL.Query().Get(AnswerParameter)
	}
	if name == "" {
		r.endpoint.Handler.ServeHTTP(w, request)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if behavior := hostile.Answers("Request-Id: " + request.Header.Get("Request-Id") + "\r\n")[name]; behavior != nil {
		behavior(conn)
	}
}
