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
	sendPeriod = 5 * time.Millisecond // time between two rounds of sending
	// resendPeriods is the number of send periods that an open waits for its reply.
	resendPeriods = 200
	maxResends    = 20
	// flowIDBase keeps flow ids apart from 0; flow i has the id flowIDBase+i.
	flowIDBase = uint64(1) << 32
)

// caller opens flows and keeps them open. Its memory is allocated and touched before the first flow
// opens, so that later growth of the process is due to the daemon.
type caller struct {
	conn           *net.UDPConn
	daemonAddress  *net.UDPAddr
	flowCount      int
	subscribeFeeds bool   // subscribe every flow to a feed
	tokens         []byte // token.Size bytes for each flow
	states         []atomic.Uint32

	openedFlows    atomic.Int64 // flows with a token
	confirmedFlows atomic.Int64 // flows with an acknowledged keep-alive
	activeFeeds    atomic.Int64 // flows whose feed is active at the daemon
	refusedOpens   atomic.Int64
	keepAliveAcks  atomic.Int64 // acknowledged keep-alives
	sendBuffers    [][]byte
	messages       []ipv4.Message
	nextKeepAlive  int // index of the next flow to send a keep-alive for
}

// States of a flow as the caller sees them.
const (
	stateUnopened uint32 = iota
	stateOpened
	stateConfirmed
	stateFeedActive
)

func newCaller(daemonAddress *net.UDPAddr, flows int) (*caller, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "caller socket cannot be opened")
	}
	_ = conn.SetReadBuffer(8 << 20)
	c := &caller{
		conn: conn, daemonAddress: daemonAddress, flowCount: flows,
		tokens: make([]byte, flows*token.Size), states: make([]atomic.Uint32, flows),
	}
	for i := range c.tokens {
		c.tokens[i] = 1 // touches the pages
	}
	for range batchSize {
		c.sendBuffers = append(c.sendBuffers, make([]byte, 0, frame.MaxSize))
		c.messages = append(c.messages, ipv4.Message{Buffers: make([][]byte, 1), Addr: daemonAddress})
	}
	return c, nil
}

// receiveReplies handles replies until the socket is closed.
func (c *caller) receiveReplies() {
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
			c.handleReply(m.Buffers[0][:m.N])
		}
	}
}

func (c *caller) handleReply(b []byte) {
	fr, err := frame.Decode(b)
	if err != nil || fr.FlowId < flowIDBase || fr.FlowId >= flowIDBase+uint64(c.flowCount) {
		return
	}
	i := int(fr.FlowId - flowIDBase)
	switch body := fr.Body.(type) {
	case *wirepb.Frame_Opened:
		if len(fr.Token) != token.Size || c.states[i].Load() != stateUnopened {
			return
		}
		copy(c.tokens[i*token.Size:], fr.Token)
		c.states[i].Store(stateOpened)
		c.openedFlows.Add(1)
		c.sendKeepAlive(i)
	case *wirepb.Frame_KeepAliveAck:
		c.keepAliveAcks.Add(1)
		if c.states[i].CompareAndSwap(stateOpened, stateConfirmed) {
			c.confirmedFlows.Add(1)
		}
		if c.subscribeFeeds {
			c.subscribeUntilActive(i, body.KeepAliveAck.FeedActive)
		}
	case *wirepb.Frame_FlowStatus:
		c.refusedOpens.Add(1)
	}
}

// subscribeUntilActive sends a subscription for a flow until a keep-alive ack reports its feed as
// active.
func (c *caller) subscribeUntilActive(i int, active bool) {
	if active {
		if c.states[i].CompareAndSwap(stateConfirmed, stateFeedActive) {
			c.activeFeeds.Add(1)
		}
		return
	}
	b, err := frame.Encode(nil, &wirepb.Frame{
		FlowId: flowIDBase + uint64(i), Token: c.tokens[i*token.Size : (i+1)*token.Size],
		Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "job tickets"}},
	})
	if err == nil {
		_, _ = c.conn.WriteToUDP(b, c.daemonAddress)
	}
}

func (c *caller) sendKeepAlive(i int) {
	if b, err := c.encodeNextFrame(nil, i); err == nil {
		// A lost packet is resent when openFlows goes over the unconfirmed flows again.
		_, _ = c.conn.WriteToUDP(b, c.daemonAddress)
	}
}

// encodeNextFrame appends an open for a flow without a token, or a keep-alive for a flow with one.
func (c *caller) encodeNextFrame(b []byte, i int) ([]byte, error) {
	fr := &wirepb.Frame{FlowId: flowIDBase + uint64(i)}
	if c.states[i].Load() == stateUnopened {
		fr.Body = &wirepb.Frame_Open{Open: &wirepb.Open{}}
	} else {
		fr.Token = c.tokens[i*token.Size : (i+1)*token.Size]
		fr.Body = &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}
	}
	return frame.Encode(b, fr)
}

// sendFrames sends the next frame of each selected flow among count flows, starting at first.
func (c *caller) sendFrames(first, count int, selected func(i int) bool) {
	batch := ipv4.NewPacketConn(c.conn)
	filled := 0
	for i := first; i < first+count; i++ {
		if !selected(i) {
			continue
		}
		b, err := c.encodeNextFrame(c.sendBuffers[filled][:0], i)
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

func (c *caller) isUnconfirmed(i int) bool { return c.states[i].Load() < stateConfirmed }

// openFlows opens all flows at the given rate per second and resends opens and keep-alives without a
// reply.
func (c *caller) openFlows(ctx context.Context, rate int, keepAlivePeriod time.Duration) error {
	ticker := time.NewTicker(sendPeriod)
	defer ticker.Stop()
	start, sent, resends := time.Now(), 0, 0
	for tick := 1; c.confirmedFlows.Load() < int64(c.flowCount); tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		due := min(c.flowCount, int(time.Since(start).Seconds()*float64(rate)))
		c.sendFrames(sent, due-sent, c.isUnconfirmed)
		sent = due
		c.sendDueKeepAlives(sent, keepAlivePeriod)
		if tick%resendPeriods != 0 {
			continue
		}
		c.sendFrames(0, max(0, sent-rate), c.isUnconfirmed)
		if sent == c.flowCount {
			if resends++; resends > maxResends {
				return errors.Errorf("%d of %d flows are not open: %d opens were refused", c.flowCount-int(c.confirmedFlows.Load()), c.flowCount, c.refusedOpens.Load())
			}
		}
	}
	return nil
}

// holdFlows keeps the open flows alive for the given duration.
func (c *caller) holdFlows(ctx context.Context, duration, keepAlivePeriod time.Duration) {
	ticker := time.NewTicker(sendPeriod)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		c.sendDueKeepAlives(c.flowCount, keepAlivePeriod)
	}
}

// sendDueKeepAlives sends the keep-alives that are due in one send period.
func (c *caller) sendDueKeepAlives(openCount int, keepAlivePeriod time.Duration) {
	if openCount == 0 {
		return
	}
	dueCount := int(float64(openCount)*float64(sendPeriod)/float64(keepAlivePeriod)) + 1
	first := c.nextKeepAlive % openCount
	dueCount = min(dueCount, openCount-first)
	c.sendFrames(first, dueCount, func(i int) bool { return !c.isUnconfirmed(i) })
	c.nextKeepAlive = first + dueCount
}
