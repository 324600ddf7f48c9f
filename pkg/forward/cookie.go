package forward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/pkg/control/directory"
)

// Cookies of handshakes.
//
// An upstream returns the cookie of the last packet that it got, and its caller the last cookie that it got. If two
// upstreams answer copies of a SYN, the later answer changes the caller's cookie although the flow is open at the
// other one, and a daemon that has not seen the flow cannot know that. So a SYN has a cookie of its own: that of the
// upstream, mixed with the sequence number of the SYN. It is valid for the packets that may follow the SYN before the
// upstream's next packet. On a later packet it is the late answer of an upstream that does not hold the flow, and
// identifies none. Load pattern: one entry of the table is looked up for each packet of an open flow, and up to
// maxFirstPackets for each packet before the first answer.

// maxFirstPackets is the number of packets that a caller sends before the first answer.
const maxFirstPackets = 16

// HandshakeCookie returns the cookie of a SYN, given the cookie of its upstream, and that of the upstream, given the
// cookie of the SYN.
func HandshakeCookie(cookie directory.Cookie, synSeq uint32) directory.Cookie {
	return cookie ^ directory.Cookie(xxhash.Sum64(binary.BigEndian.AppendUint32(make([]byte, 0, 4), synSeq)))
}

// handshakeCookie returns the cookie of a SYN for an upstream. It is never one that identifies an upstream by itself.
func (c *Core) handshakeCookie(u *Upstream, synSeq uint32) directory.Cookie {
	cookie := HandshakeCookie(u.cookie, synSeq)
	if cookie == 0 || c.upstreamsByCookie[cookie] != nil {
		return u.cookie
	}
	return cookie
}

// upstreamOfHandshake returns the upstream whose answer to its SYN a caller has got last, nil if the cookie is not
// that of a handshake or the packet does not follow the SYN.
func (c *Core) upstreamOfHandshake(p *Packet) *Upstream {
	for i := range uint32(maxFirstPackets) {
		first := p.Seq - i*segmentBytes // of the first packet, as packets but the last are full
		// A SYN usually takes one sequence number. The platform's pages leave that open.
		for _, synSeq := range [...]uint32{first - 1, first} {
			if u := c.upstreamsByCookie[HandshakeCookie(p.Cookie, synSeq)]; u != nil {
				return u
			}
		}
	}
	return nil
}
