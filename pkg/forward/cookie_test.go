package forward

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
)

// Guards against a late answer to a SYN that leads an open flow to the upstream of that answer: its cookie is valid on
// every daemon for the packets before the first answer, and on no daemon for a later packet.
func TestHandshakeCookieIsValidBeforeFirstAnswer(t *testing.T) {
	rng := rand.New(rand.NewPCG(43, 1))
	for n := range 1000 {
		placing, other := newCore(14), newCore(14)
		syn := synPacket(n, uint32(n%3))
		syn.Seq = rng.Uint32()
		placed := placing.HandlePacket(0, syn)
		assert.Assert(t, placed.Cookie != 0 && placing.upstreamsByCookie[placed.Cookie] == nil)
		for _, c := range []*Core{placing, other} {
			for i, length := range []int{0, 100, segmentBytes, segmentBytes} {
				p := dataPacket(n, syn.Seq+uint32(i%2)+uint32(length/segmentBytes)*segmentBytes, placed.Cookie)
				p.Length = length
				a := c.HandlePacket(0, p)
				assert.Assert(t, a.Verdict == Forward && a.Upstream.Key == placed.Upstream.Key)
				assert.Equal(t, a.Cookie, a.Upstream.cookie)
			}
		}
		later := dataPacket(n, syn.Seq+1+uint32(100+rng.IntN(1000)), placed.Cookie)
		assert.Equal(t, newCore(14).HandlePacket(0, later).Verdict, Hold)
	}
}

// Guards against cookies of handshakes that stand for none or for another upstream.
func TestHandshakeCookieIsUnambiguous(t *testing.T) {
	c := newCore(1)
	u := c.upstreamsByCookie[testCookie(1)]
	const seq = 77
	c.upstreamsByCookie[HandshakeCookie(u.cookie, seq)] = &Upstream{}
	assert.Equal(t, c.handshakeCookie(u, seq), u.cookie)
	zero := &Upstream{cookie: HandshakeCookie(0, seq)}
	assert.Equal(t, c.handshakeCookie(zero, seq), zero.cookie)
	assert.Assert(t, c.handshakeCookie(u, seq+1) != u.cookie)
	assert.Equal(t, c.upstreamOfHandshake(&Packet{Seq: seq + 2, Cookie: c.handshakeCookie(u, seq+1)}), u)
	assert.Assert(t, c.upstreamOfHandshake(&Packet{Seq: seq + 3, Cookie: directory.Cookie(1)}) == nil)
}
