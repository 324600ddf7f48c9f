package flowbench

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/token"
)

const (
	batchSize  = 64 // datagrams in one system call
	bufferSize = 2048
	pace       = 5 * time.Millisecond // period of sending
	// resendAfter is how many periods an open waits for its reply.
	resendAfter = 200
	maxResends  = 20
	// flowIDBase keeps the caller's flow ids apart from 0; flow i has the id base+i.
	flowIDBase = uint64(1) << 32
)

// caller opens flows and keeps them open. Its memory is allocated and touched before the
// first flow opens, so that growth of the process is the daemon's.
type caller struct {
	conn   *net.UDPConn
	entry  *net.UDPAddr
	count  int
	feeds  bool   // subscribe every flow
	tokens []byte // token.Size bytes for each flow
	state  []atomic.Uint32

	opened    atomic.Int64 // flows with a token
	confirmed atomic.Int64 // flows whose keep-alive was answered
	followed  atomic.Int64 // flows whose feed is active at the daemon
	refused   atomic.Int64
	acks      atomic.Int64 // keep-alives answered
	frames    [][]byte
	messages  []ipv4.Message
	keepAlive int // next flow to keep alive
}

// States of a flow at the caller.
const (
	stateUnopened uint32 = iota
	stateOpened
	stateConfirmed
	stateFollowed
)

func newCaller(entry *net.UDPAddr, flows int) (*caller, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "caller socket cannot be opened")
	}
	_ = conn.SetReadBuffer(8 << 20)
	c := &caller{
		conn: conn, entry: entry, count: flows,
		tokens: make([]byte, flows*token.Size), state: make([]atomic.Uint32, flows),
	}
	for i := range c.tokens {
		c.tokens[i] = 1 // touches the pages
	}
	for range batchSize {
		c.frames = append(c.frames, make([]byte, 0, frame.MaxSize))
		c.messages = append(c.messages, ipv4.Message{Buffers: make([][]byte, 1), Addr: entry})
	}
	return c, nil
}

// receive handles replies until the socket is closed.
func (c *caller) receive() {
	batch := ipv4.NewPacketConn(c.conn)
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	for {
		n, err := batch.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		for _, m := range messages[:n] {
			c.reply(m.Buffers[0][:m.N])
		}
	}
}

func (c *caller) reply(b []byte) {
	fr, err := frame.Decode(b)
	if err != nil || fr.FlowId < flowIDBase || fr.FlowId >= flowIDBase+uint64(c.count) {
		return
	}
	i := int(fr.FlowId - flowIDBase)
	switch body := fr.Body.(type) {
	case *wirepb.Frame_Opened:
		if len(fr.Token) != token.Size || c.state[i].Load() != stateUnopened {
			return
		}
		copy(c.tokens[i*token.Size:], fr.Token)
		c.state[i].Store(stateOpened)
		c.opened.Add(1)
		c.confirm(i)
	case *wirepb.Frame_KeepAliveAck:
		c.acks.Add(1)
		if c.state[i].CompareAndSwap(stateOpened, stateConfirmed) {
			c.confirmed.Add(1)
		}
		if c.feeds {
			c.follow(i, body.KeepAliveAck.FeedActive)
		}
	case *wirepb.Frame_FlowStatus:
		c.refused.Add(1)
	}
}

// follow subscribes a flow until a keep-alive says that its feed is active.
func (c *caller) follow(i int, active bool) {
	if active {
		if c.state[i].CompareAndSwap(stateConfirmed, stateFollowed) {
			c.followed.Add(1)
		}
		return
	}
	b, err := frame.Encode(nil, &wirepb.Frame{
		FlowId: flowIDBase + uint64(i), Token: c.tokens[i*token.Size : (i+1)*token.Size],
		Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "job tickets"}},
	})
	if err == nil {
		_, _ = c.conn.WriteToUDP(b, c.entry)
	}
}

func (c *caller) confirm(i int) {
	if b, err := c.encode(nil, i); err == nil {
		// A lost packet is repeated by the pass over unconfirmed flows.
		_, _ = c.conn.WriteToUDP(b, c.entry)
	}
}

// encode appends the open of a flow without a token, or the keep-alive of one with a token.
func (c *caller) encode(b []byte, i int) ([]byte, error) {
	fr := &wirepb.Frame{FlowId: flowIDBase + uint64(i)}
	if c.state[i].Load() == stateUnopened {
		fr.Body = &wirepb.Frame_Open{Open: &wirepb.Open{}}
	} else {
		fr.Token = c.tokens[i*token.Size : (i+1)*token.Size]
		fr.Body = &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}
	}
	return frame.Encode(b, fr)
}

// send sends the next frame of n flows, beginning at the given one.
func (c *caller) send(first, n int, want func(i int) bool) {
	batch := ipv4.NewPacketConn(c.conn)
	filled := 0
	for i := first; i < first+n; i++ {
		if !want(i) {
			continue
		}
		b, err := c.encode(c.frames[filled][:0], i)
		if err != nil {
			continue
		}
		c.messages[filled].Buffers[0] = b
		filled++
		if filled == batchSize {
			_, _ = batch.WriteBatch(c.messages, 0)
			filled = 0
		}
	}
	if filled > 0 {
		_, _ = batch.WriteBatch(c.messages[:filled], 0)
	}
}

func (c *caller) unconfirmed(i int) bool { return c.state[i].Load() < stateConfirmed }

// open opens all flows at the given rate a second and repeats what got no reply.
func (c *caller) open(ctx context.Context, rate int, period time.Duration) error {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	began, sent, retried := time.Now(), 0, 0
	for tick := 1; c.confirmed.Load() < int64(c.count); tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		due := min(c.count, int(time.Since(began).Seconds()*float64(rate)))
		c.send(sent, due-sent, c.unconfirmed)
		sent = due
		c.keep(sent, period)
		if tick%resendAfter != 0 {
			continue
		}
		c.send(0, max(0, sent-rate), c.unconfirmed)
		if sent == c.count {
			if retried++; retried > maxResends {
				return errors.Errorf("%d of %d flows are not open: %d opens were refused", c.count-int(c.confirmed.Load()), c.count, c.refused.Load())
			}
		}
	}
	return nil
}

// hold keeps the open flows alive for a time.
func (c *caller) hold(ctx context.Context, length, period time.Duration) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		c.keep(c.count, period)
	}
}

// keep sends the share of keep-alives that is due in one period of sending.
func (c *caller) keep(open int, period time.Duration) {
	if open == 0 {
		return
	}
	share := int(float64(open)*float64(pace)/float64(period)) + 1
	first := c.keepAlive % open
	share = min(share, open-first)
	c.send(first, share, func(i int) bool { return !c.unconfirmed(i) })
	c.keepAlive = first + share
}
