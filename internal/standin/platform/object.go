package platform

import (
	"net/http"
	"sync"
)

type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *objects) get(c call) answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, found := o.data[c.PathValue("name")]
	if !found {
		return refuse(http.StatusNotFound, "NotFound")
	}
	return ok(data)
}

func (o *objects) put(c call) answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[c.PathValue("name")] = c.body
	return ok(struct{}{})
}
