package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// maxOwnersPerDomain is the number of VMs of a failure domain, the first ones in the common
// order, that share the keys of the domain.
const maxOwnersPerDomain = maxListedPerDomain

// Owners returns the addresses of the daemons that may own a key of a failure domain, this
// daemon's included, the owner first. All daemons return the same order as far as they
// agree which of the first VMs of the domain are alive. If the domain has no daemons, the
// key belongs to another one.
func (v *View) Owners(now clock.Millis, domain, key string) (addresses []string) {
	vms := v.livingIn(now, domain)
	if len(vms) == 0 {
		vms = v.livingIn(now, v.standInDomain(now, key))
	}
	for _, vm := range vms[:min(len(vms), maxOwnersPerDomain)] {
		addresses = append(addresses, vm.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(ownerWeight(key, b), ownerWeight(key, a)) })
	return addresses
}

// standInDomain returns the failure domain that owns a key of a domain without daemons.
func (v *View) standInDomain(now clock.Millis, key string) (domain string) {
	domain = v.self.FailureDomain
	for name := range v.domains {
		if len(v.livingIn(now, name)) > 0 && ownerWeight(key, name) > ownerWeight(key, domain) {
			domain = name
		}
	}
	return domain
}

// livingIn returns the VMs of a failure domain that have not failed, this daemon included,
// in the common order.
func (v *View) livingIn(now clock.Millis, domain string) (vms []VM) {
	vms = living(now, v.domains[domain])
	if domain == v.self.FailureDomain && !v.stopping {
		vms = append(vms, v.self)
		slices.SortFunc(vms, compare)
	}
	return vms
}

// ownerWeight is the weight of an address or name in the rendezvous hash of a key.
func ownerWeight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
