package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of digests of a directory. With 256 of them and 3,000 upstreams, a difference of
// one costs a dozen registrations.
const digestBuckets = 256

// Digests returns a digest of the registrations in each bucket of keys. Two directories with equal digests
// hold the same registrations; sequence numbers and times do not count.
func (d *Directory) Digests() []uint64 {
	out := make([]uint64, digestBuckets)
	for _, r := range d.records {
		// A sum does not depend on the order.
		out[bucketOf(r.Key)] += r.digest()
	}
	return out
}

// Differing returns the registrations in buckets whose digest differs from the given one, and all that were in
// their warm-up at their latest announcement, because digests hold no times. Digests of another number of
// buckets differ in all of them.
func (d *Directory) Differing(digests []uint64) []Registration {
	own := d.Digests()
	var out []Registration
	for _, r := range d.records {
		if b := bucketOf(r.Key); len(digests) != digestBuckets || own[b] != digests[b] || r.State != Gone && r.announcedCold() {
			out = append(out, r.Registration)
		}
	}
	return out
}

func bucketOf(k Key) int {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(k))
	return int(xxhash.Sum64(b[:]) % digestBuckets)
}

func (r *Registration) digest() uint64 {
	b := make([]byte, 0, 128)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Key))
	b = binary.BigEndian.AppendUint64(b, uint64(r.StartUnixMs))
	address := r.Address.Addr().As4()
	b = append(b, address[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Address.Port())
	b = binary.BigEndian.AppendUint32(b, uint32(r.Slots))
	b = append(b, byte(r.State))
	if r.Silent {
		b = append(b, 1)
	}
	b = append(append(b, 0), r.Service...)
	b = append(append(b, 0), r.DataCentre...)
	if r.WarmupSponsor != "" {
		b = append(append(b, 0), r.WarmupSponsor...)
	}
	return xxhash.Sum64(b)
}
