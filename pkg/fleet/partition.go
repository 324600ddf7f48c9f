package fleet

import "net/netip"

// firstUpstreamOctet is the last octet of the upstream address of the first data centre; hosts have
// smaller ones.
const firstUpstreamOctet = 200

// dataCentreIndex returns the index of a data centre among those of the hosts, or the number of data
// centres when it has no host.
func (f *Fleet) dataCentreIndex(name string) int {
	indexes := map[string]int{}
	for _, h := range f.hosts {
		if _, ok := indexes[h.DataCentre]; !ok {
			indexes[h.DataCentre] = len(indexes)
		}
	}
	if i, ok := indexes[name]; ok {
		return i
	}
	return len(indexes)
}

// upstreamAddr returns the address that all upstreams of a data centre share.
func (f *Fleet) upstreamAddr(dataCentre string) netip.Addr {
	octets := f.hosts[0].Addr.As4()
	octets[3] = byte(firstUpstreamOctet + f.dataCentreIndex(dataCentre))
	return netip.AddrFrom4(octets)
}

// SetIsolated disconnects data centres from all others, or reconnects them.
func (f *Fleet) SetIsolated(isolated bool, dataCentres ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dc := range dataCentres {
		f.isolated[dc] = isolated
	}
}

// unreachableFrom returns a function that reports whether hosts of a data centre currently cannot
// reach an address.
func (f *Fleet) unreachableFrom(dataCentre string) func(netip.Addr) bool {
	dataCentres := map[netip.Addr]string{}
	for _, h := range f.hosts {
		dataCentres[h.Addr] = h.DataCentre
		dataCentres[f.upstreamAddr(h.DataCentre)] = h.DataCentre
	}
	return func(a netip.Addr) bool {
		other, known := dataCentres[a.Unmap()]
		if !known || other == dataCentre {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.isolated[dataCentre] || f.isolated[other]
	}
}
