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

// maxKeyBytes limits the length of the key in the Authorization header.
const maxKeyBytes = 256

// keyPrefix is the prefix of every key.
const keyPrefix = "bs_"

// keyPattern matches text that looks like a key, so that requests with a key
// outside the Authorization header are refused before endpoints or logs get it.
var keyPattern = regexp.MustCompile(keyPrefix + `[A-Za-z0-9.:-]+_[A-Za-z0-9_-]{8,}`)

// authenticate looks up the key of the request and its team, and cancels the
// exchange when the key is withdrawn. A request without a key continues without
// a team; Classify allows it only on routes that are open to all.
func (x *Exchange) authenticate() error {
	if err := refuseMisplacedKey(x.HTTP); err != nil {
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
		return authenticationRefusal(err)
	}
	x.secret = secret
	x.Request.KeyID = key.ID
	x.Request.Team = team.Name
	go (&keyWatcher{withdrawn: x.server.deps.State.KeyInvalidated(key.ID), cancel: x.cancel}).run(x.Context)
	return nil
}

// ErrKeyWithdrawn is the cancellation cause of an exchange's context when its
// key is withdrawn.
var ErrKeyWithdrawn = errors.New("key withdrawn")

// keyWatcher cancels an exchange when its key is withdrawn.
type keyWatcher struct {
	withdrawn <-chan struct{}
	cancel    context.CancelCauseFunc
}

func (k *keyWatcher) run(ctx context.Context) {
	select {
	case <-k.withdrawn:
		k.cancel(ErrKeyWithdrawn)
	case <-ctx.Done():
	}
}

// refuseMisplacedKey refuses a request with a key in the URL or in any header
// but Authorization, because these are forwarded to endpoints.
func refuseMisplacedKey(r *http.Request) error {
	if r.URL.User != nil || containsKey(r.URL.RawQuery) || containsKey(r.URL.EscapedPath()) {
		return BadRequest("The URL holds a key or a user. Keys belong in the header Authorization only.")
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if containsKey(strings.Join(values, "\n")) {
			return BadRequest("The header " + name + " holds a key. Keys belong in the header Authorization only.")
		}
	}
	return nil
}

// containsKey reports whether text contains a key, in plain or percent-encoded
// form.
func containsKey(text string) bool {
	if strings.Contains(text, keyPrefix) && keyPattern.MatchString(text) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	unescaped, err := url.PathUnescape(text)
	return err == nil && keyPattern.MatchString(unescaped)
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

// KeyWithdrawn returns the refusal of a request whose key was withdrawn.
func KeyWithdrawn(run request.RunState) error {
	return &request.Refusal{
		Status: http.StatusUnauthorized, Code: request.CodeKeyWithdrawn, Run: run,
		Message: "The key has been withdrawn.",
	}
}

// authenticationRefusal returns the refusal for an error of State.Authenticate.
func authenticationRefusal(err error) error {
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
