package balance

import "container/list"

// cache models the content of an endpoint's key-value cache: the prompt parts
// that were sent there, with least-recently-used eviction.
type cache struct {
	entries map[uint64]*list.Element
	order   *list.List
	tokens  int
}

type cacheEntry struct {
	hash   uint64
	tokens int
}

func newCache() *cache {
	return &cache{entries: make(map[uint64]*list.Element), order: list.New()}
}

// match returns the length of the prompt's cached prefix in tokens.
func (c *cache) match(parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		if _, found := c.entries[part.Hash]; !found {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records a use of the prompt's parts, the first part as the most recently
// used, and evicts parts beyond the capacity.
func (c *cache) add(parts []PromptPart, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	for c.tokens > capacity {
		c.remove(c.order.Back())
	}
}

func (c *cache) touch(part PromptPart) {
	if element, found := c.entries[part.Hash]; found {
		c.order.MoveToFront(element)
		return
	}
	c.entries[part.Hash] = c.order.PushFront(cacheEntry{hash: part.Hash, tokens: part.Tokens})
	c.tokens += part.Tokens
}

func (c *cache) remove(element *list.Element) {
	entry := c.order.Remove(element).(cacheEntry)
	delete(c.entries, entry.hash)
	c.tokens -= entry.tokens
}
