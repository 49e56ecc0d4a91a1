package order_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// serveList starts a platform with a list of endpoints.
func serveList(t *testing.T, list string) order.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
	t.Cleanup(server.Close)
	return order.New(server.URL, http.DefaultClient)
}

// TestOddEntryHidesNoOtherEndpoint guards against a list that is refused as a whole, at each
// read, so that new endpoints are never used.
func TestOddEntryHidesNoOtherEndpoint(t *testing.T) {
	const sound = `{"ID":"e-%d","Backend":"b","Address":"10.0.0.1:80","FailureDomain":"r-1","Market":"Firm","Incarnation":"1"}`
	odd := func(field string) string { return strings.Replace(fmt.Sprintf(sound, 9), "{", "{"+field+",", 1) }
	for _, entry := range []string{
		"7", `"text"`, "[]", "null", "{}", `{"ID":"e-9"}`, odd(`"ReclaimIn":1e300`), odd(`"ReclaimIn":-1`), odd(`"ReclaimIn":9223372036854775807`), odd(`"Leaving":"yes"`),
		odd(`"MilliPrice":1e99`), odd(`"MilliPrice":-1`), odd(`"MilliPrice":` + strings.Repeat("9", 5000)), odd(`"Region":{}`), odd(`"Other":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)),
		strings.Replace(fmt.Sprintf(sound, 9), ":80", ":70000", 1), strings.Replace(fmt.Sprintf(sound, 9), ":80", ":-1", 1), strings.Replace(fmt.Sprintf(sound, 9), ":80", "", 1),
		strings.Replace(fmt.Sprintf(sound, 9), "e-9", `e\r\n,]\"`, 1), strings.Replace(fmt.Sprintf(sound, 9), "e-9", strings.Repeat("e", 5000), 1),
	} {
		left := 0
		list := "[" + fmt.Sprintf(sound, 1) + ", " + entry + " ," + fmt.Sprintf(sound, 2) + "]\n"
		listed, err := serveList(t, list).Endpoints(context.Background(), func(err error) {
			left++
			if len(err.Error()) > 300 {
				t.Errorf("%.60s: got an error of %d bytes, want a short one", entry, len(err.Error()))
			}
		})
		if err != nil || left != 1 || len(listed) != 2 || listed[1].ID != "e-2" {
			t.Errorf("%.60s: got %d endpoints, %d left out, %v; want 2 and 1", entry, len(listed), left, err)
		}
	}
}

func TestResponseThatIsNoListIsAnError(t *testing.T) {
	for _, list := range []string{"", "{}", "7", "[", "[{}"} {
		if _, err := serveList(t, list).Endpoints(context.Background(), func(error) {}); !errors.Is(err, order.ErrUnavailable) {
			t.Errorf("%q: got %v, want ErrUnavailable", list, err)
		}
	}
	for _, empty := range []string{" [ ] ", "null"} {
		if listed, err := serveList(t, empty).Endpoints(context.Background(), func(err error) { t.Error(err) }); err != nil || len(listed) != 0 {
			t.Errorf("%q: got %v, %v", empty, listed, err)
		}
	}
}
