package balance_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// TestPromptLargerThanTheMemoryIsSentNowhere guards against endpoints that want no requests of any
// caller, since one has sent them a prompt that they can never hold.
func TestPromptLargerThanTheMemoryIsSentNowhere(t *testing.T) {
	small, large := readyEndpoint, readyEndpoint
	large.ID, large.CacheTokens = "l", 2*small.CacheTokens
	request := func(tokens int) balance.Request {
		return balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: tokens / 2}, {Hash: 2, Tokens: tokens - tokens/2}}}
	}
	b := balance.New()
	if !b.HasMemory(request(1)) {
		t.Error("a back end without endpoints has no memory")
	}
	b.SetEndpoints(0, []balance.Endpoint{small, large})
	if choice, found := b.Choose(0, request(small.CacheTokens+1)); !found || choice.Endpoint != "l" {
		t.Errorf("got %+v, %t, want the endpoint that can hold the prompt", choice, found)
	}
	if _, found := b.Choose(0, request(large.CacheTokens+1)); found || b.HasMemory(request(large.CacheTokens+1)) {
		t.Error("an endpoint was chosen that cannot hold the prompt")
	}
	if _, found := b.Choose(0, request(large.CacheTokens)); !found || !b.HasMemory(request(large.CacheTokens)) {
		t.Error("no endpoint was chosen for a prompt that one can hold")
	}
	plain := balance.Endpoint{ID: "p", Backend: "plain", Slots: 4}
	b.SetEndpoints(0, []balance.Endpoint{plain})
	if _, found := b.Choose(0, balance.Request{Backend: "plain", Parts: request(1e9).Parts}); !found {
		t.Error("an endpoint without a cache was not chosen")
	}
}
