// Package openai serves the usual interface of language models: chat
// completions, completions and the list of models, with and without streaming.
//
// The router always streams from engines. A stream that an engine breaks off
// is resumed on another one at the token where it stopped; the caller sees one
// answer without a token missing or repeated. A caller that does not stream
// gets the answer in one piece.
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

// Paths of the model interface, at the router and at engines alike.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	ModelsPath     = "/v1/models"
)

// Dependencies are what a Handler needs.
type Dependencies struct {
	Clock     clock.Clock
	Logger    logrus.FieldLogger
	State     *state.State
	Engine    *engine.Client
	Scheduler request.Scheduler
	// TakeRetry reports whether the retry budget allows to run a request
	// again.
	TakeRetry func(req *request.Request) bool
	// RecordUsage records what a request is billed for.
	RecordUsage func(req *request.Request, promptTokens, outputTokens int)
}

// Handler serves the model interface.
type Handler struct {
	deps Dependencies
}

// New returns a Handler.
func New(deps Dependencies) *Handler {
	return &Handler{deps: deps}
}

// Chat serves POST /v1/chat/completions.
func (h *Handler) Chat(x *entry.Exchange) error {
	return h.serve(x, chatDialect)
}

// Completion serves POST /v1/completions.
func (h *Handler) Completion(x *entry.Exchange) error {
	return h.serve(x, completionDialect)
}

func (h *Handler) serve(x *entry.Exchange, d dialect) error {
	if err := x.ReadBody(); err != nil {
		return err
	}
	parsed, err := parse(x.Body, d)
	if err != nil {
		return err
	}
	route, found := h.deps.State.Route(parsed.model)
	if !found || route.Prefix != "" {
		return modelUnknown()
	}
	if err := x.Classify(route); err != nil {
		return err
	}
	backend, found := h.deps.State.Backend(route.Backend)
	if !found || backend.Type != entity.Model {
		return modelUnknown()
	}
	model, err := json.Marshal(backend.Model)
	if err != nil {
		return err
	}
	parsed.fields["model"] = model
	describe(x.Request, parsed)
	return newRun(h, x, d, parsed).serve()
}

// describe completes the descriptor by what the body says.
func describe(req *request.Request, parsed parsedBody) {
	req.PrefixDigests, req.PromptTokens = engine.MeasurePrompt(parsed.prompt)
	req.MaxTokens = parsed.maxTokens
	req.Repeatable = true
}

func modelUnknown() error {
	return &request.Refusal{
		Status: http.StatusNotFound, Code: request.CodeRouteUnknown, Run: request.RunNot,
		Message: "There is no model of this name.",
	}
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models serves GET /v1/models: the models that the key's team may use.
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
	return x.Write(body)
}
