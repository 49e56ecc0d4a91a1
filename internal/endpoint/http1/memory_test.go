package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// TestHeadsOfAnswersAreCounted guards against long heads, whole ones and such that do not end, of which
// the answers are in use at the same time.
func TestHeadsOfAnswersAreCounted(t *testing.T) {
	const budgetBytes = 1 << 20
	budget := memory.New(budgetBytes)
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nX-Note: " + strings.Repeat("x", 50<<10)
			if strings.HasPrefix(id, "cut") {
				_, _ = io.WriteString(conn, head)
				continue
			}
			_, _ = io.WriteString(conn, head+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := http1.New(http1.Config{Clock: clock.System(), AnsweredID: answeredID, Memory: budget})
	held := func() int64 { return budget.State().Held }
	var answers []*http1.Answer
	for n := 0; ; n++ {
		answer, err := pool.Do(t.Context(), "e", e.listener.Addr().String(), request(fmt.Sprint("a", n)))
		if errors.Is(err, response.ErrNoMemory) {
			break
		}
		if err != nil || n > budgetBytes/(50<<10) {
			t.Fatalf("answer %d: %v, %d bytes are counted", n, err, held())
		}
		answers = append(answers, answer)
	}
	if len(answers) == 0 || held() > budgetBytes/4+memory.ShortBytes || held() < int64(len(answers))*(50<<10) {
		t.Errorf("%d answers in use, %d bytes are counted", len(answers), held())
	}
	for _, answer := range answers {
		if body, err := io.ReadAll(answer); err != nil || string(body) != "ok" {
			t.Errorf("got %q, %v", body, err)
		}
		answer.Close()
	}
	if held() != 0 {
		t.Errorf("%d bytes are counted for idle connections", held())
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, err := pool.Do(ctx, "e", e.listener.Addr().String(), request("cut")); err == nil || held() != 0 {
		t.Errorf("got %v, %d bytes are counted for a head that was cut off", err, held())
	}
}
