package balance

// HasMemory reports whether any endpoint of the back end can hold the prompt of a request in its
// memory, or whether there is none. An endpoint refuses a longer one as if it were full, and may
// then want no other requests for a time, though only the caller of that one has caused it.
func (b *Balancer) HasMemory(request Request) bool {
	p := b.backends[request.Backend]
	if p == nil || len(p.members) == 0 {
		return true
	}
	promptTokens := request.PromptTokens()
	for _, r := range p.members {
		if r.holds(promptTokens) {
			return true
		}
	}
	return false
}

// holds reports whether the memory of the endpoint is large enough for a prompt.
func (r *replica) holds(promptTokens int) bool {
	return r.CacheTokens == 0 || promptTokens <= r.CacheTokens
}
