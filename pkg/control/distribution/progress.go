package distribution

import (
	"cmp"
	"slices"

	"rosemarygate/api/control/v1"
)

// maxProgressVersions limits the versions in a progress message: the daemons of all older versions
// are counted at the oldest version in the message.
const maxProgressVersions = 32

// Progress counts the daemons of this replica by the version in force, newest version first. Replicas
// exchange these counts, so that a push can wait for the daemons of all data centres.
func (p *Publisher) Progress(replicaName string) *controlpb.Progress {
	counts := map[uint64]uint32{}
	for _, s := range p.subscribers {
		counts[s.versionInForce]++
	}
	out := &controlpb.Progress{Replica: replicaName}
	for version, daemons := range counts {
		out.Counts = append(out.Counts, &controlpb.VersionCount{Version: version, Daemons: daemons})
	}
	slices.SortFunc(out.Counts, func(a, b *controlpb.VersionCount) int { return cmp.Compare(b.GetVersion(), a.GetVersion()) })
	for len(out.Counts) > maxProgressVersions {
		last := len(out.Counts) - 1
		out.Counts[last-1].Version = out.Counts[last].GetVersion()
		out.Counts[last-1].Daemons += out.Counts[last].GetDaemons()
		out.Counts = out.Counts[:last]
	}
	return out
}

// NewestVersion returns the latest version that a daemon of a replica has in force, 0 for none.
func NewestVersion(p *controlpb.Progress) uint64 {
	newest := uint64(0)
	for _, c := range p.GetCounts() {
		newest = max(newest, c.GetVersion())
	}
	return newest
}

// CountInForce returns how many daemons of all replicas have the version or a later one in force. A daemon
// that moves to another replica may be counted at both until the next exchange.
func CountInForce(version uint64, all []*controlpb.Progress) (inForce, daemons int) {
	for _, p := range all {
		for _, c := range p.GetCounts() {
			daemons += int(c.GetDaemons())
			if c.GetVersion() >= version {
				inForce += int(c.GetDaemons())
			}
		}
	}
	return inForce, daemons
}
