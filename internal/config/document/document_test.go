package document_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
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

// update offers a version whose encoded document is raw, and reports whether it replaced
// the one held.
func update(h *document.Holder, version int64, raw string, era uint64, asOf clock.Millis) bool {
	return h.Update(index(version), []byte(raw), document.Reading{Era: era, AsOf: asOf})
}

func confirm(h *document.Holder, version int64, raw string, era uint64, asOf clock.Millis) (wanted bool) {
	return h.Confirm(document.IdentityOf(index(version), []byte(raw)), document.Reading{Era: era, AsOf: asOf})
}

// expectHeld checks the document held and the time at which it was last confirmed.
func expectHeld(t *testing.T, h *document.Holder, raw string, asOf clock.Millis) {
	t.Helper()
	held, _, confirmed := h.Encoded()
	if string(held) != raw || confirmed.AsOf != asOf {
		t.Errorf("got document %q, confirmed at %d; want %q, confirmed at %d", held, confirmed.AsOf, raw, asOf)
	}
}

func TestHolderNeverGoesBack(t *testing.T) {
	h := document.NewHolder()
	if !update(h, 5, "five", 0, 100) || update(h, 4, "four", 0, 900) {
		t.Fatal("Update must report true for version 5 and false for the older version 4")
	}
	if current, _ := h.Current(); current.Version() != 5 {
		t.Errorf("got version %d, want 5", current.Version())
	}
	expectHeld(t, h, "five", 100)
}

func TestConfirmationCountsOnlyForTheNewestVersion(t *testing.T) {
	h := document.NewHolder()
	update(h, 5, "five", 0, 100)
	if !confirm(h, 6, "six", 0, 500) {
		t.Error("Confirm must report that version 6 is wanted")
	}
	expectHeld(t, h, "five", 100)
	confirm(h, 5, "five", 0, 400)
	confirm(h, 4, "four", 0, 300)
	expectHeld(t, h, "five", 400)
}

func TestOtherContentOfALaterEraReplacesAnEqualVersion(t *testing.T) {
	h := document.NewHolder()
	update(h, 5, "five", 1, 100)
	if !update(h, 5, "other", 2, 200) {
		t.Error("the other content must replace the one held")
	}
	if update(h, 5, "five", 1, 300) || confirm(h, 5, "five", 1, 300) {
		t.Error("the content of the earlier era must not come back")
	}
	expectHeld(t, h, "other", 200)
}

func TestNothingOfAnEarlierEraConfirms(t *testing.T) {
	h := document.NewHolder()
	update(h, 5, "five", 1, 100)
	confirm(h, 5, "five", 2, 200)
	confirm(h, 5, "five", 1, 900)
	update(h, 5, "five", 1, 900)
	expectHeld(t, h, "five", 200)
}

// TestLostVersionIsGivenUpLast checks that an older version of a later era replaces the
// one held only if the operator does not write that again.
func TestLostVersionIsGivenUpLast(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		h := document.NewHolder()
		update(h, 5, "five", 1, 0)
		for at := clock.Second; at <= 9*clock.Second; at += clock.Second {
			if update(h, 4, "four", 2, at) || confirm(h, 4, "four", 2, at) {
				t.Fatalf("version 4 replaces version 5 %s after the store came back", at-clock.Second)
			}
		}
		expectHeld(t, h, "five", 0)
		if rewritten {
			confirm(h, 5, "five", 2, 10*clock.Second)
		}
		if wanted := confirm(h, 4, "four", 2, 11*clock.Second); wanted == rewritten {
			t.Errorf("written again %t: version 4 is wanted %t", rewritten, wanted)
		}
		if replaced := update(h, 4, "four", 2, 11*clock.Second); replaced == rewritten {
			t.Errorf("written again %t: version 4 replaces version 5 %t", rewritten, replaced)
		}
	}
}

// TestStarterTakesTheNewestVersionOfItsPeers guards against a daemon that starts between
// the return of the store and the operator's writes, and undoes a confirmed change.
func TestStarterTakesTheNewestVersionOfItsPeers(t *testing.T) {
	h := document.NewHolder()
	update(h, 4, "four", 2, 500)
	if !update(h, 5, "five", 1, 100) {
		t.Error("version 5 of a peer must replace version 4 of the restored store")
	}
	expectHeld(t, h, "five", 100)
}
