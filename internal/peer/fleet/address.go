package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

// invalidateAddress stops sending requests to an endpoint for a time, since the address of a
// placement belongs to another one. If the entry of the endpoint has changed since, it does
// nothing.
func (s *Scheduler) invalidateAddress(p relay.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.endpoints[p.Endpoint]; known.Address != p.Address || known.Incarnation != p.Incarnation {
		return
	}
	if time, begun := s.balancer.InvalidateAddress(s.clock.Now(), p.Endpoint); begun {
		eventAddressReassigned.Log(s.logger, logrus.Fields{"Endpoint": p.Endpoint, "Address": p.Address, "Time": int64(time)})
	}
}

// confirmAddress sends requests to an endpoint again if it has its address after all.
func (s *Scheduler) confirmAddress(p relay.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[p.Endpoint].Address == p.Address {
		s.confirmKnownAddress(p.Endpoint, p.Address, "Report")
	}
}

// confirmMoved confirms the new addresses of endpoints that are listed at another one than
// before. The caller holds mu.
func (s *Scheduler) confirmMoved(endpoints []roster.Endpoint) {
	for _, endpoint := range endpoints {
		if known, found := s.endpoints[endpoint.ID]; found && known.Address != endpoint.Address {
			s.confirmKnownAddress(endpoint.ID, endpoint.Address, "Entry")
		}
	}
}

// confirmKnownAddress confirms an address that a source states. The caller holds mu.
func (s *Scheduler) confirmKnownAddress(endpoint, address, source string) {
	if s.balancer.ConfirmAddress(s.clock.Now(), endpoint) {
		eventAddressConfirmed.Log(s.logger, logrus.Fields{"Endpoint": endpoint, "Address": address, "Source": source})
	}
}
