package rig

import (
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// entityChanges returns the changes that create a scenario's entities.
func entityChanges(s scenario.Scenario) []*operatorv1.EntityChange {
	var changes []*operatorv1.EntityChange
	add := func(e *operatorv1.Entity) {
		changes = append(changes, &operatorv1.EntityChange{Entity: e})
	}
	for _, class := range s.Classes {
		add(&operatorv1.Entity{Value: &operatorv1.Entity_Class{Class: ClassMessage(class)}})
	}
	for _, team := range s.Teams {
		message := &operatorv1.Team{Name: team.Name, Weight: int32(team.Weight)}
		add(&operatorv1.Entity{Value: &operatorv1.Entity_Team{Team: message}})
	}
	for _, backend := range s.Backends {
		add(&operatorv1.Entity{Value: &operatorv1.Entity_Backend{Backend: backendMessage(backend)}})
	}
	for _, route := range s.Routes {
		message := &operatorv1.Route{
			Name: route.Name, Backend: route.Backend, Prefix: route.Prefix,
			Classes: route.Classes, Teams: route.Teams, OpenToAll: route.OpenToAll,
		}
		add(&operatorv1.Entity{Value: &operatorv1.Entity_Route{Route: message}})
	}
	return changes
}

// ClassMessage converts a class to its message in the operator RPC.
func ClassMessage(class entity.Class) *operatorv1.Class {
	return &operatorv1.Class{
		Name: class.Name, Tier: int32(class.Tier),
		FirstTokenTargetMillis:    int64(class.FirstTokenTarget),
		BetweenTokensTargetMillis: int64(class.BetweenTokensTarget),
		GuaranteedShare:           class.GuaranteedShare,
		RefuseEarly:               class.RefuseEarly,
		MaxWaitMillis:             int64(class.MaxWait),
	}
}

func backendMessage(backend entity.Backend) *operatorv1.Backend {
	return &operatorv1.Backend{
		Name: backend.Name, Type: string(backend.Type), Model: backend.Model, Version: backend.Version,
		RepeatableMethods: backend.RepeatableMethods, ChecksFence: backend.ChecksFence,
		MinEndpoints: int32(backend.MinEndpoints), MaxEndpoints: int32(backend.MaxEndpoints),
		FirmOnly: backend.FirmOnly, Slots: int32(backend.Slots),
	}
}
