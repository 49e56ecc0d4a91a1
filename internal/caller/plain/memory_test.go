package plain

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestLongAnswersAreCounted guards against answers of up to 16 MiB that are kept for as many callers as
// there are. Those that do not fit come to their callers whole all the same, and one that is too long,
// or breaks off, does not look whole.
func TestLongAnswersAreCounted(t *testing.T) {
	const callers, longBytes = 40, 3 << 20
	r := newTestCluster(t, 1)
	var mostHeld int64
	var mu sync.Mutex
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			mu.Lock()
			mostHeld = max(mostHeld, r.memory.State().Held)
			mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	for _, test := range []struct {
		name   string
		length int
		text   string
		whole  bool
	}{
		{"with a length", longBytes, "Content-Length: %d\r\n\r\n%s", true},
		{"in chunks", longBytes, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", true},
		{"cut", longBytes, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", false},
		{"too long", maxAnswerBytes + 1, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", false},
	} {
		body := strings.Repeat("b", test.length)
		r.service.raw = func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + fmt.Sprintf(test.text, test.length, body)
		}
		r.service.mode.Store("raw")
		var calls sync.WaitGroup
		for n := range callers {
			calls.Go(func() {
				method := []string{http.MethodGet, http.MethodPost}[n%2]
				status, size, err := r.fetch(method)
				isWhole := status == http.StatusOK && err == nil
				if isWhole != test.whole || isWhole && size != test.length {
					t.Errorf("%s, %s: got status %d, %d bytes, %v", test.name, method, status, size, err)
				}
			})
		}
		calls.Wait()
	}
	close(stop)
	watch.Wait()
	if limit := int64(clusterMemory/4 + callers*(16<<10)); mostHeld < longBytes || mostHeld > limit {
		t.Errorf("at most %d bytes were counted, want some answers and at most %d", mostHeld, limit)
	}
	if held := r.memory.State().Held; held != 0 {
		t.Errorf("%d bytes are counted after all calls", held)
	}
}

// fetch sends a call and returns the status and the length of the answer.
func (r *testCluster) fetch(method string) (status, size int, err error) {
	req, err := http.NewRequest(method, "http://"+r.daemons[0].address+"/certificates", http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}
