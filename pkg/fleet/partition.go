package fleet

import "net/netip"

// firstUpstreamAddr is the last byte of the address of the first data centre's upstreams;
// hosts have smaller ones.
const firstUpstreamAddr = 200

// dataCentreIndex returns the position of a data centre among those of the hosts, or their
// number when it has no host.
func (f *Fleet) dataCentreIndex(name string) int {
	seen := map[string]int{}
	for _, h := range f.hosts {
		if _, ok := seen[h.DataCentre]; !ok {
			seen[h.DataCentre] = len(seen)
		}
	}
	if i, ok := seen[name]; ok {
		return i
	}
	return len(seen)
}

// upstreamAddr returns the address that all upstreams of a data centre share.
func (f *Fleet) upstreamAddr(dataCentre string) netip.Addr {
	a := f.hosts[0].Addr.As4()
	a[3] = byte(firstUpstreamAddr + f.dataCentreIndex(dataCentre))
	return netip.AddrFrom4(a)
}

// Isolate cuts data centres off from every other one, or connects them again.
func (f *Fleet) Isolate(cut bool, dataCentres ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dc := range dataCentres {
		f.cut[dc] = cut
	}
}

// unreachableFrom returns which addresses hosts of a data centre cannot reach now.
func (f *Fleet) unreachableFrom(dataCentre string) func(netip.Addr) bool {
	centres := map[netip.Addr]string{}
	for _, h := range f.hosts {
		centres[h.Addr] = h.DataCentre
		centres[f.upstreamAddr(h.DataCentre)] = h.DataCentre
	}
	return func(a netip.Addr) bool {
		other, known := centres[a.Unmap()]
		if !known || other == dataCentre {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cut[dataCentre] || f.cut[other]
	}
}
