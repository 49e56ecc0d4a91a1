package state

import (
	"errors"
	"fmt"
	"strings"

	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// ErrUnknownKind is returned for an entity whose name does not start with a
// known kind, or whose Go type is not one of an entity.
var ErrUnknownKind = errors.New("state: unknown kind of entity")

// EntityName returns the name of an entity in the change log, "kind/name".
func EntityName(kind entity.Kind, name string) string {
	return string(kind) + "/" + name
}

// SplitName is the inverse of EntityName.
func SplitName(entityName string) (kind entity.Kind, name string) {
	before, after, _ := strings.Cut(entityName, "/")
	return entity.Kind(before), after
}

// PutWrite returns the write that creates or replaces e, which must be a valid
// Team, Key, Class, Route or Backend.
func PutWrite(e any) (write changelog.Write, err error) {
	defer func() { err = oops.Wrapf(err, "encode entity") }()
	name, err := validatedName(e)
	if err != nil {
		return changelog.Write{}, err
	}
	value, err := msgpack.Marshal(e)
	if err != nil {
		return changelog.Write{}, err
	}
	return changelog.Write{Entity: name, Value: value}, nil
}

// DeleteWrite returns the write that deletes an entity.
func DeleteWrite(kind entity.Kind, name string) changelog.Write {
	return changelog.Write{Entity: EntityName(kind, name), Deleted: true}
}

// Decode decodes a value of the change log into a Team, Key, Class, Route or
// Backend, depending on the kind in entityName.
func Decode(entityName string, value []byte) (any, error) {
	kind, _ := SplitName(entityName)
	switch kind {
	case entity.KindTeam:
		return decode[entity.Team](value)
	case entity.KindKey:
		return decode[entity.Key](value)
	case entity.KindClass:
		return decode[entity.Class](value)
	case entity.KindRoute:
		return decode[entity.Route](value)
	case entity.KindBackend:
		return decode[entity.Backend](value)
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownKind, entityName)
}

func decode[E any](value []byte) (any, error) {
	var decoded E
	if err := packed.Unmarshal(value, &decoded); err != nil {
		return nil, err
	}
	return decoded, nil
}

// validatedName returns the EntityName of e and the error of its validation.
func validatedName(e any) (string, error) {
	switch typed := e.(type) {
	case entity.Team:
		return EntityName(entity.KindTeam, typed.Name), typed.Validate()
	case entity.Key:
		return EntityName(entity.KindKey, typed.ID), typed.Validate()
	case entity.Class:
		return EntityName(entity.KindClass, typed.Name), typed.Validate()
	case entity.Route:
		return EntityName(entity.KindRoute, typed.Name), typed.Validate()
	case entity.Backend:
		return EntityName(entity.KindBackend, typed.Name), typed.Validate()
	}
	return "", fmt.Errorf("%w: %T", ErrUnknownKind, e)
}
