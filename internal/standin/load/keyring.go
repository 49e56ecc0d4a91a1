package load

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Key is an API key of a caller.
type Key struct {
	ID     string
	Secret string
}

// Keyring holds the keys that callers use, by team.
type Keyring struct {
	mu        sync.Mutex
	active    map[string][]Key
	withdrawn map[string][]Key
}

// NewKeyring returns an empty Keyring.
func NewKeyring() *Keyring {
	return &Keyring{active: make(map[string][]Key), withdrawn: make(map[string][]Key)}
}

// Add adds an active key of a team.
func (k *Keyring) Add(team string, key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active[team] = append(k.active[team], key)
}

// Withdraw makes an active key available only to flows with UseWithdrawnKey.
func (k *Keyring) Withdraw(team, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, key := range k.active[team] {
		if key.ID == id {
			k.active[team] = slices.Delete(k.active[team], i, i+1)
			k.withdrawn[team] = append(k.withdrawn[team], key)
			return
		}
	}
}

// Active returns the active keys of a team.
func (k *Keyring) Active(team string) []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.active[team])
}

// unknownSecret is a well-formed secret that was never issued.
const unknownSecret = "bs_nobody_0123456789abcdef0123456789abcdef"

// pick returns a random key for a call of the flow; it is empty if the team has
// none.
func (k *Keyring) pick(flow Flow, random *rand.Rand) Key {
	if flow.UseUnknownKey {
		return Key{Secret: unknownSecret}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.active[flow.Team]
	if flow.UseWithdrawnKey {
		keys = k.withdrawn[flow.Team]
	}
	if len(keys) == 0 {
		return Key{}
	}
	return keys[random.IntN(len(keys))]
}
