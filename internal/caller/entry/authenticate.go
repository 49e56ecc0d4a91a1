package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// maxKeyBytes bounds the key in the header Authorization.
const maxKeyBytes = 256

// keyPrefix starts every key.
const keyPrefix = "bs_"

// keyPattern finds what looks like a key, to keep keys out of places where
// endpoints and logs would see them.
var keyPattern = regexp.MustCompile(keyPrefix + `[A-Za-z0-9.:-]+_[A-Za-z0-9_-]{8,}`)

// authenticate finds the key and its team. A request without a key goes on as
// nobody's; only routes open to all take it.
func (x *Exchange) authenticate() error {
	if err := checkNoStrayKey(x.HTTP); err != nil {
		return err
	}
	values := x.HTTP.Header["Authorization"]
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 {
		return BadRequest("There is more than one header Authorization.")
	}
	scheme, secret, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > maxKeyBytes {
		return keyUnknown()
	}
	key, team, err := x.server.deps.State.Authenticate(sha256.Sum256([]byte(secret)))
	if err != nil {
		return refusalOf(err)
	}
	x.secret = secret
	x.Request.KeyID = key.ID
	x.Request.Team = team.Name
	go (&keyWatch{ended: x.server.deps.State.KeyEnded(key.ID), cancel: x.cancel}).run(x.Context)
	return nil
}

// ErrKeyWithdrawn is the cause with which an exchange's context ends when the key
// is withdrawn.
var ErrKeyWithdrawn = errors.New("key withdrawn")

// keyWatch ends an exchange whose key is withdrawn.
type keyWatch struct {
	ended  <-chan struct{}
	cancel context.CancelCauseFunc
}

func (k *keyWatch) run(ctx context.Context) {
	select {
	case <-k.ended:
		k.cancel(ErrKeyWithdrawn)
	case <-ctx.Done():
	}
}

// checkNoStrayKey refuses keys in the URL and in headers that are passed on.
func checkNoStrayKey(r *http.Request) error {
	if r.URL.User != nil || holdsKey(r.URL.RawQuery) || holdsKey(r.URL.EscapedPath()) {
		return BadRequest("The URL holds a key or a user. Keys belong in the header Authorization only.")
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if holdsKey(strings.Join(values, "\n")) {
			return BadRequest("The header " + name + " holds a key. Keys belong in the header Authorization only.")
		}
	}
	return nil
}

// holdsKey looks for a key as it stands and with its escapes resolved.
func holdsKey(text string) bool {
	if strings.Contains(text, keyPrefix) && keyPattern.MatchString(text) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	plain, err := url.PathUnescape(text)
	return err == nil && keyPattern.MatchString(plain)
}

func keyMissing() error {
	return &request.Refusal{
		Status: http.StatusUnauthorized, Code: request.CodeKeyMissing, Run: request.RunNot,
		Message: "This route needs a key in the header Authorization.",
	}
}

func keyUnknown() error {
	return &request.Refusal{
		Status: http.StatusUnauthorized, Code: request.CodeKeyUnknown, Run: request.RunNot,
		Message: "The key is not known.",
	}
}

// KeyWithdrawn returns the refusal of a key that was withdrawn.
func KeyWithdrawn(run request.RunState) error {
	return &request.Refusal{
		Status: http.StatusUnauthorized, Code: request.CodeKeyWithdrawn, Run: run,
		Message: "The key has been withdrawn.",
	}
}

func refusalOf(err error) error {
	switch {
	case errors.Is(err, state.ErrKeyWithdrawn):
		return KeyWithdrawn(request.RunNot)
	case errors.Is(err, state.ErrTeamDisabled):
		return &request.Refusal{
			Status: http.StatusForbidden, Code: request.CodeTeamDisabled, Run: request.RunNot,
			Message: "The key's team is disabled.",
		}
	}
	return keyUnknown()
}
