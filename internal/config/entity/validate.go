package entity

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// ErrInvalid is wrapped by every error of CheckText and the Validate methods.
var ErrInvalid = errors.New("invalid")

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 100

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]*$`)

func checkName(kind Kind, name string) error {
	if len(name) > MaxNameLength {
		return fmt.Errorf("%w: %s name is longer than %d bytes", ErrInvalid, kind, MaxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%w: %s name %q must start with a letter or digit and hold only letters, digits and . _ / : -", ErrInvalid, kind, name)
	}
	return nil
}

// Validate returns an error for the first invalid field of t.
func (t Team) Validate() error {
	if err := checkName(KindTeam, t.Name); err != nil {
		return err
	}
	if strings.Contains(t.Name, "/") {
		return fmt.Errorf("%w: Team name %q must not hold a slash", ErrInvalid, t.Name)
	}
	if t.Weight < 1 {
		return fmt.Errorf("%w: Team %s: Weight is %d, must be at least 1", ErrInvalid, t.Name, t.Weight)
	}
	return nil
}

// Validate returns an error for the first invalid field of k.
func (k Key) Validate() error {
	if err := checkName(KindKey, k.ID); err != nil {
		return err
	}
	if k.Team == "" {
		return fmt.Errorf("%w: Key %s: Team is missing", ErrInvalid, k.ID)
	}
	if k.Hash == [32]byte{} {
		return fmt.Errorf("%w: Key %s: Hash is missing", ErrInvalid, k.ID)
	}
	return nil
}

// Validate returns an error for the first invalid field of c.
func (c Class) Validate() error {
	if err := checkName(KindClass, c.Name); err != nil {
		return err
	}
	switch {
	case c.Tier < 0 || c.Tier > LowestTier:
		return fmt.Errorf("%w: Class %s: Tier is %d, must be from 0 to %d", ErrInvalid, c.Name, c.Tier, LowestTier)
	case c.FirstTokenTarget <= 0:
		return fmt.Errorf("%w: Class %s: FirstTokenTarget must be greater than 0", ErrInvalid, c.Name)
	case c.BetweenTokensTarget < 0:
		return fmt.Errorf("%w: Class %s: BetweenTokensTarget must not be negative", ErrInvalid, c.Name)
	case c.GuaranteedShare < 0 || c.GuaranteedShare > 1:
		return fmt.Errorf("%w: Class %s: GuaranteedShare is %g, must be from 0 to 1", ErrInvalid, c.Name, c.GuaranteedShare)
	case c.MaxWait <= 0:
		return fmt.Errorf("%w: Class %s: MaxWait must be greater than 0", ErrInvalid, c.Name)
	}
	return nil
}

// Validate returns an error for the first invalid field of r.
func (r Route) Validate() error {
	if err := checkName(KindRoute, r.Name); err != nil {
		return err
	}
	switch {
	case r.Backend == "":
		return fmt.Errorf("%w: Route %s: Backend is missing", ErrInvalid, r.Name)
	case r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"):
		return fmt.Errorf("%w: Route %s: Prefix %q must start with a slash", ErrInvalid, r.Name, r.Prefix)
	case r.Prefix == "/v1" || strings.HasPrefix(r.Prefix, "/v1/"):
		return fmt.Errorf("%w: Route %s: Prefix %q is taken by the model interface", ErrInvalid, r.Name, r.Prefix)
	case len(r.Classes) == 0:
		return fmt.Errorf("%w: Route %s: needs at least one class", ErrInvalid, r.Name)
	}
	return nil
}

// Validate returns an error for the first invalid field of b.
func (b Backend) Validate() error {
	if err := checkName(KindBackend, b.Name); err != nil {
		return err
	}
	switch {
	case b.Type != Model && b.Type != Service:
		return fmt.Errorf("%w: Backend %s: Type %q must be %s or %s", ErrInvalid, b.Name, b.Type, Model, Service)
	case b.Type == Model && b.Model == "":
		return fmt.Errorf("%w: Backend %s: Model is missing", ErrInvalid, b.Name)
	case b.MinEndpoints < 0 || b.MaxEndpoints < b.MinEndpoints:
		return fmt.Errorf("%w: Backend %s: MinEndpoints %d and MaxEndpoints %d must be 0 <= min <= max", ErrInvalid, b.Name, b.MinEndpoints, b.MaxEndpoints)
	case b.Slots < 1:
		return fmt.Errorf("%w: Backend %s: Slots must be at least 1", ErrInvalid, b.Name)
	}
	return nil
}

// idPattern matches the IDs that the platform gives to endpoints.
var idPattern = regexp.MustCompile(`^[!-~]{1,200}$`)

// maxReclaimIn is the longest time until an endpoint is reclaimed.
const maxReclaimIn = 24 * clock.Hour

// Validate returns an error for the first invalid field of e. An endpoint that is starting has
// no address.
func (e Endpoint) Validate() error {
	switch {
	case !idPattern.MatchString(e.ID):
		return fmt.Errorf("%w: Endpoint %.40q: the ID must hold 1 to 200 printable characters and no space", ErrInvalid, e.ID)
	case e.Backend == "" || len(e.Backend) > MaxNameLength:
		return fmt.Errorf("%w: Endpoint %s: Backend is missing or too long", ErrInvalid, e.ID)
	case e.Address != "" && !isAddress(e.Address):
		return fmt.Errorf("%w: Endpoint %s: Address %.40q is not host:port", ErrInvalid, e.ID, e.Address)
	case e.ReclaimIn < 0 || e.ReclaimIn > maxReclaimIn:
		return fmt.Errorf("%w: Endpoint %s: ReclaimIn is %d, must be from 0 to %d", ErrInvalid, e.ID, e.ReclaimIn, maxReclaimIn)
	case e.MilliPrice < 0:
		return fmt.Errorf("%w: Endpoint %s: MilliPrice must not be negative", ErrInvalid, e.ID)
	}
	return nil
}

// isAddress reports whether an address is a host and the number of a port.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
