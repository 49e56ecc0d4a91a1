package document_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/internal/config/document"
)

func index(version int64) *document.Index {
	return document.NewIndex(document.Document{
		Version: version,
		Routes: []document.Route{
			{Name: "all", Host: "api.example", Prefix: "/"},
			{Name: "books", Host: "API.example", Prefix: "/books/"},
			{Name: "old", Host: "api.example", Prefix: "/books/old/", Public: true},
			{Name: "split", Host: "split.example", Prefix: "/", Backends: []document.WeightedBackend{{Backend: "a", Weight: 3}, {Backend: "b", Weight: 1}}},
		},
		Teams: []document.Team{{Name: "himal", Keys: []string{"k1", "k2"}}},
	})
}

func TestRouteSelectsLongestPrefixOfHost(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"api.example", "/x", "all"},
		{"api.example:8080", "/books/7", "books"},
		{"Api.Example", "/books/old/7", "old"},
		{"api.example", "/books", "all"},
		{"other.example", "/books/7", ""},
	}
	for _, c := range cases {
		route, found := index(1).Route(c.host, c.path)
		if (c.want == "") == found || (found && route.Name != c.want) {
			t.Errorf("%s%s: got route %v, want %q", c.host, c.path, route, c.want)
		}
	}
}

func TestKeysBelongToTeams(t *testing.T) {
	i := index(1)
	if team, known := i.Team("k2"); !known || team.Name != "himal" {
		t.Errorf("key k2: got team %v, want himal", team)
	}
	if _, known := i.Team(""); known {
		t.Error("empty key: got a team, want none")
	}
	books, _ := i.Route("api.example", "/books/7")
	public, _ := i.Route("api.example", "/books/old/7")
	if !i.NeedsKey(books) || i.NeedsKey(public) {
		t.Error("NeedsKey must be true for books and false for the public route")
	}
}

func TestPickBackendByWeightAndRequestID(t *testing.T) {
	route, _ := index(1).Route("split.example", "/")
	counts := map[string]int{}
	for n := range 4000 {
		id := fmt.Sprint("request-", n)
		counts[route.PickBackend(id)]++
		if first := route.PickBackend(id); first != route.PickBackend(id) {
			t.Fatal("the same request ID must select the same back end")
		}
	}
	if counts["a"] < 2800 || counts["a"] > 3200 {
		t.Errorf("weights 3 to 1: got %v, want 2800 to 3200 requests for a", counts)
	}
}

func TestHolderNeverGoesBack(t *testing.T) {
	h := document.NewHolder()
	if !h.Update(index(5), []byte("five"), 100) || h.Update(index(4), []byte("four"), 900) {
		t.Fatal("Update must report true for version 5 and false for the older version 4")
	}
	current, confirmedAt := h.Current()
	if current.Version() != 5 || confirmedAt != 100 || string(h.Raw()) != "five" {
		t.Errorf("got version %d, confirmed at %d; want version 5, confirmed at 100 with its raw bytes", current.Version(), confirmedAt)
	}
}

func TestConfirmationCountsOnlyForTheNewestVersion(t *testing.T) {
	h := document.NewHolder()
	h.Update(index(5), nil, 100)
	h.Confirm(6, 500)
	if _, confirmedAt := h.Current(); confirmedAt != 100 {
		t.Errorf("after Confirm of version 6: version 5 is confirmed at %d, want 100", confirmedAt)
	}
	h.Confirm(5, 400)
	h.Confirm(4, 300)
	if _, confirmedAt := h.Current(); confirmedAt != 400 {
		t.Errorf("confirmed at %d, want 400", confirmedAt)
	}
}
