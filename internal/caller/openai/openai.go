// Package openai serves the OpenAI-compatible API: chat completions,
// completions and the list of models, with and without streaming.
//
// The router always streams from engines. When an engine fails during a stream,
// the request resumes on another engine at the token where it stopped; the
// caller sees one response without missing or repeated tokens. A caller that
// does not stream gets the response as one JSON object.
//
// # Usage
//
//	handler := openai.New(openai.Dependencies{...})
//	server.Handle("POST", "/v1/chat/completions", handler.Chat)
//	server.Handle("POST", "/v1/completions", handler.Completion)
//	server.Handle("GET", "/v1/models", handler.Models)
package openai

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

// Paths of the API, which are the same at the router and at engines.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	ModelsPath     = "/v1/models"
)

// Dependencies are the dependencies of a Handler.
type Dependencies struct {
	Clock     clock.Clock
	Logger    logrus.FieldLogger
	State     *state.State
	Engine    *engine.Client
	Scheduler request.Scheduler
	// TakeRetry takes a retry of the request from the retry budget and reports
	// whether the budget allowed it.
	TakeRetry func(req *request.Request) bool
	// RecordUsage records the tokens that a request is billed for.
	RecordUsage func(req *request.Request, promptTokens, outputTokens int)
}

// Handler serves the OpenAI-compatible API.
type Handler struct {
	deps Dependencies
}

// New returns a Handler.
func New(deps Dependencies) *Handler {
	return &Handler{deps: deps}
}

// Chat serves POST /v1/chat/completions.
func (h *Handler) Chat(x *entry.Exchange) error {
	return h.serve(x, chatAPI)
}

// Completion serves POST /v1/completions.
func (h *Handler) Completion(x *entry.Exchange) error {
	return h.serve(x, completionAPI)
}

// parsedCopies is how often the text of a body is held, besides the body itself, while it is parsed and
// served.
const parsedCopies = 2

func (h *Handler) serve(x *entry.Exchange, api apiVariant) error {
	if err := x.ReadBody(); err != nil {
		return err
	}
	if err := x.Reserve(parsedCopies); err != nil {
		return err
	}
	parsed, err := parseBody(x.Body, api)
	if err != nil {
		return err
	}
	x.Body = nil
	route, found := h.deps.State.Route(parsed.model)
	if !found || route.Prefix != "" {
		return unknownModelRefusal()
	}
	if err := x.Classify(route); err != nil {
		return err
	}
	backend, found := h.deps.State.Backend(route.Backend)
	if !found || backend.Type != entity.Model {
		return unknownModelRefusal()
	}
	model, err := json.Marshal(backend.Model)
	if err != nil {
		return err
	}
	parsed.fields["model"] = model
	setRequestSize(x.Request, parsed)
	return newExecution(h, x, api, parsed).serve()
}

// setRequestSize sets the fields of req that depend on the body.
func setRequestSize(req *request.Request, parsed parsedBody) {
	req.PrefixDigests, req.PromptTokens = engine.MeasurePrompt(parsed.prompt)
	req.MaxTokens = parsed.maxTokens
	req.Repeatable = true
}

func unknownModelRefusal() error {
	return &request.Refusal{
		Status: http.StatusNotFound, Code: request.CodeRouteUnknown, Run: request.RunNot,
		Message: "There is no model of this name.",
	}
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models serves GET /v1/models, which lists the models that the caller's team
// may use and those open to all.
func (h *Handler) Models(x *entry.Exchange) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, route := range h.deps.State.Routes() {
		if route.Prefix != "" {
			continue
		}
		if route.OpenToAll || (x.Request.KeyID != "" && h.deps.State.Allowed(route.Name, x.Request.Team)) {
			list.Data = append(list.Data, modelItem{ID: route.Name, Object: "model", OwnedBy: "banyanshift"})
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	x.Header().Set("Content-Type", "application/json")
	return x.SendAnswer(http.StatusOK, body)
}
