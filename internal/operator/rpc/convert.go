package rpc

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

func teamEntity(t *operatorv1.Team) entity.Team {
	return entity.Team{Name: t.GetName(), Weight: int(t.GetWeight()), Disabled: t.GetDisabled()}
}

func teamMessage(t entity.Team, revision uint64) *operatorv1.Team {
	return &operatorv1.Team{Name: t.Name, Weight: int32(t.Weight), Disabled: t.Disabled, Revision: revision}
}

func keyMessage(k entity.Key, revision uint64) *operatorv1.Key {
	return &operatorv1.Key{ID: k.ID, Team: k.Team, Class: k.Class, Withdrawn: k.Withdrawn, Revision: revision}
}

// keyEntity leaves the hash zero, which is invalid, if the hash in the message
// has the wrong length.
func keyEntity(k *operatorv1.Key) entity.Key {
	key := entity.Key{ID: k.GetID(), Team: k.GetTeam(), Class: k.GetClass(), Withdrawn: k.GetWithdrawn()}
	if len(k.GetHash()) == len(key.Hash) {
		key.Hash = [32]byte(k.GetHash())
	}
	return key
}

func classEntity(c *operatorv1.Class) entity.Class {
	share := c.GetGuaranteedShare()
	if math.IsNaN(share) {
		share = -1
	}
	return entity.Class{
		Name:                c.GetName(),
		Tier:                int(c.GetTier()),
		FirstTokenTarget:    clock.Millis(c.GetFirstTokenTargetMillis()),
		BetweenTokensTarget: clock.Millis(c.GetBetweenTokensTargetMillis()),
		GuaranteedShare:     share,
		RefuseEarly:         c.GetRefuseEarly(),
		MaxWait:             clock.Millis(c.GetMaxWaitMillis()),
	}
}

func classMessage(c entity.Class, revision uint64) *operatorv1.Class {
	return &operatorv1.Class{
		Name:                      c.Name,
		Tier:                      int32(c.Tier),
		FirstTokenTargetMillis:    int64(c.FirstTokenTarget),
		BetweenTokensTargetMillis: int64(c.BetweenTokensTarget),
		GuaranteedShare:           c.GuaranteedShare,
		RefuseEarly:               c.RefuseEarly,
		MaxWaitMillis:             int64(c.MaxWait),
		Revision:                  revision,
	}
}

func routeEntity(r *operatorv1.Route) entity.Route {
	return entity.Route{
		Name:      r.GetName(),
		Backend:   r.GetBackend(),
		Prefix:    r.GetPrefix(),
		Classes:   r.GetClasses(),
		Teams:     r.GetTeams(),
		OpenToAll: r.GetOpenToAll(),
	}
}

func routeMessage(r entity.Route, revision uint64) *operatorv1.Route {
	return &operatorv1.Route{
		Name:      r.Name,
		Backend:   r.Backend,
		Prefix:    r.Prefix,
		Classes:   r.Classes,
		Teams:     r.Teams,
		OpenToAll: r.OpenToAll,
		Revision:  revision,
	}
}

func backendEntity(b *operatorv1.Backend) entity.Backend {
	return entity.Backend{
		Name:              b.GetName(),
		Type:              entity.BackendType(b.GetType()),
		Model:             b.GetModel(),
		Version:           b.GetVersion(),
		RepeatableMethods: b.GetRepeatableMethods(),
		ChecksFence:       b.GetChecksFence(),
		MinEndpoints:      int(b.GetMinEndpoints()),
		MaxEndpoints:      int(b.GetMaxEndpoints()),
		FirmOnly:          b.GetFirmOnly(),
		Slots:             int(b.GetSlots()),
	}
}

func backendMessage(b entity.Backend, revision uint64) *operatorv1.Backend {
	return &operatorv1.Backend{
		Name:              b.Name,
		Type:              string(b.Type),
		Model:             b.Model,
		Version:           b.Version,
		RepeatableMethods: b.RepeatableMethods,
		ChecksFence:       b.ChecksFence,
		MinEndpoints:      int32(b.MinEndpoints),
		MaxEndpoints:      int32(b.MaxEndpoints),
		FirmOnly:          b.FirmOnly,
		Slots:             int32(b.Slots),
		Revision:          revision,
	}
}
