package load

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Key is a caller's key with its secret.
type Key struct {
	ID     string
	Secret string
}

// Keyring holds the keys that callers use, by team.
type Keyring struct {
	mu      sync.Mutex
	active  map[string][]Key
	retired map[string][]Key
}

// NewKeyring returns an empty Keyring.
func NewKeyring() *Keyring {
	return &Keyring{active: make(map[string][]Key), retired: make(map[string][]Key)}
}

// Add gives a team's callers another key.
func (k *Keyring) Add(team string, key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active[team] = append(k.active[team], key)
}

// Withdraw moves a key to those that only flows with Withdrawn use.
func (k *Keyring) Withdraw(team, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, key := range k.active[team] {
		if key.ID == id {
			k.active[team] = slices.Delete(k.active[team], i, i+1)
			k.retired[team] = append(k.retired[team], key)
			return
		}
	}
}

// Active returns the keys in use of a team.
func (k *Keyring) Active(team string) []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.active[team])
}

// badSecret has the form of a key and was never given out.
const badSecret = "bs_nobody_0123456789abcdef0123456789abcdef"

func (k *Keyring) pick(flow Flow, random *rand.Rand) Key {
	if flow.UseUnknownKey {
		return Key{Secret: badSecret}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.active[flow.Team]
	if flow.UseWithdrawnKey {
		keys = k.retired[flow.Team]
	}
	if len(keys) == 0 {
		return Key{}
	}
	return keys[random.IntN(len(keys))]
}
