package balance

import "container/list"

// cache is the assumed content of an endpoint's key-value cache: the leading
// parts of the prompts that were sent there, the least recently used ones
// yielding first.
type cache struct {
	entries map[uint64]*list.Element
	order   *list.List
	tokens  int
}

type cached struct {
	hash   uint64
	tokens int
}

func newCache() *cache {
	return &cache{entries: make(map[uint64]*list.Element), order: list.New()}
}

// match returns how many leading tokens of the prompt are cached.
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

// add records that the prompt was computed or read.
func (c *cache) add(parts []PromptPart, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	for c.tokens > capacity {
		c.drop(c.order.Back())
	}
}

func (c *cache) touch(part PromptPart) {
	if element, found := c.entries[part.Hash]; found {
		c.order.MoveToFront(element)
		return
	}
	c.entries[part.Hash] = c.order.PushFront(cached{hash: part.Hash, tokens: part.Tokens})
	c.tokens += part.Tokens
}

func (c *cache) drop(element *list.Element) {
	entry := c.order.Remove(element).(cached)
	delete(c.entries, entry.hash)
	c.tokens -= entry.tokens
}
