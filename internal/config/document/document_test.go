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

func TestLongestPrefixOfTheHostWins(t *testing.T) {
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
			t.Errorf("%s%s: got %v, want %q", c.host, c.path, route, c.want)
		}
	}
}

func TestKeysBelongToTeams(t *testing.T) {
	i := index(1)
	if team, known := i.Team("k2"); !known || team.Name != "himal" {
		t.Errorf("k2: got %v", team)
	}
	if _, known := i.Team(""); known {
		t.Error("an empty key must belong to nobody")
	}
	books, _ := i.Route("api.example", "/books/7")
	public, _ := i.Route("api.example", "/books/old/7")
	if !i.NeedsKey(books) || i.NeedsKey(public) {
		t.Error("only public routes go without a key")
	}
}

func TestPickFollowsWeightsAndTheRequest(t *testing.T) {
	route, _ := index(1).Route("split.example", "/")
	counts := map[string]int{}
	for n := range 4000 {
		id := fmt.Sprint("request-", n)
		counts[route.PickBackend(id)]++
		if first := route.PickBackend(id); first != route.PickBackend(id) {
			t.Fatal("the same request must get the same back end")
		}
	}
	if counts["a"] < 2800 || counts["a"] > 3200 {
		t.Errorf("weights 3 to 1 gave %v", counts)
	}
}

func TestHolderNeverGoesBack(t *testing.T) {
	h := document.NewHolder()
	if !h.Update(index(5), []byte("five"), 100) || h.Update(index(4), []byte("four"), 900) {
		t.Fatal("only newer versions must be taken")
	}
	held, confirmed := h.Current()
	if held.Version() != 5 || confirmed != 100 || string(h.Raw()) != "five" {
		t.Errorf("got version %d, confirmed at %d", held.Version(), confirmed)
	}
}

func TestConfirmationCountsOnlyForTheNewestVersion(t *testing.T) {
	h := document.NewHolder()
	h.Update(index(5), nil, 100)
	h.Confirm(6, 500)
	if _, confirmed := h.Current(); confirmed != 100 {
		t.Errorf("version 6 is in force elsewhere, yet version 5 is confirmed as of %d", confirmed)
	}
	h.Confirm(5, 400)
	h.Confirm(4, 300)
	if _, confirmed := h.Current(); confirmed != 400 {
		t.Errorf("confirmed as of %d, want 400", confirmed)
	}
}
