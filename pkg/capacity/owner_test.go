package capacity

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/token"
)

var (
	flowSizes = []int{1000, 2000, 4000, 8000}
	keys      = []token.Key{{ID: 1, Secret: []byte("0123456789abcdef")}}
)

const service, upstreamOne = ident.ServiceID(1), ident.UpstreamID(2)

// newOwner returns an owner core with one connected upstream.
func newOwner(self ident.DaemonID) *owner.Core {
	c := owner.NewCore(owner.Config{Self: self, Incarnation: 1, Keys: keys})
	c.Step(start, owner.ServicesChanged{Services: owner.ServiceMap{service: {
		Classes: []dispatch.Class{{Name: "tally", Share: 1, QueueLimit: 10}}, FlowIdle: 1 << 40,
	}}})
	up := owner.UpstreamUp{Service: service, Upstream: upstreamOne, Incarnation: 1, Slots: 3, FlowLimit: 1 << 30}
	c.Step(start, up)
	return c
}

func openFlow(c *owner.Core, i int) {
	c.Step(start, owner.OpenReceived{Caller: address(i), Service: service, Flow: ident.FlowID(i + 1), Upstream: upstreamOne})
	subscribe(c, i, 1)
}

// subscribe subscribes a flow with a token of the given owner.
func subscribe(c *owner.Core, i int, by ident.DaemonID) {
	c.Step(start, owner.FrameReceived{
		Caller: address(i),
		Claims: token.Claims{Service: service, Upstream: upstreamOne, UpstreamIncarnation: 1, Owner: by, OwnerIncarnation: 1, IssuedAt: start},
		Frame:  &wirepb.Frame{FlowId: uint64(i + 1), Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press-line-7"}}},
	})
}

func ownerWith(flows int) *owner.Core {
	c := newOwner(1)
	for i := range flows {
		openFlow(c, i)
	}
	return c
}

func handover(c *owner.Core) (chunks []*peerpb.HandoverChunk) {
	for _, a := range c.Step(start, owner.HandoverRequested{Upstream: upstreamOne, To: 9, Incarnation: 1}) {
		if h, ok := a.(owner.SendHandover); ok {
			chunks = h.Chunks
		}
	}
	return chunks
}

func encoded(chunks []*peerpb.HandoverChunk) (all [][]byte) {
	for _, ch := range chunks {
		b, _ := proto.Marshal(ch)
		all = append(all, b)
	}
	return all
}

func decoded(all [][]byte) (chunks []*peerpb.HandoverChunk) {
	for _, b := range all {
		ch := new(peerpb.HandoverChunk)
		_ = proto.Unmarshal(b, ch)
		chunks = append(chunks, ch)
	}
	return chunks
}

// Measures open flows with a feed, and their planned and unplanned moves to another owner.
func TestFlows(t *testing.T) {
	skipUnlessMeasuring(t)
	all := []series{
		{name: "open flows with a feed, live bytes", cost: func(n int) float64 {
			return Live(func() any { return ownerWith(n) })
		}},
		{name: "opening and subscribing all flows, ns", cost: func(n int) float64 {
			c := newOwner(1)
			return float64(n) * ProcessorTime(n, func(i int) { openFlow(c, i) })
		}},
		{name: "tick with all flows open, ns", cost: func(n int) float64 {
			c := ownerWith(n)
			return ProcessorTime(100, func(int) { c.Step(start, owner.Tick{}) })
		}},
		{name: "handover of all flows, old owner, ns", cost: func(n int) float64 {
			c := ownerWith(n)
			return ProcessorTime(1, func(int) { encoded(handover(c)) })
		}},
		{name: "handover of all flows, bytes", cost: func(n int) float64 {
			size := 0
			for _, b := range encoded(handover(ownerWith(n))) {
				size += len(b)
			}
			return float64(size)
		}},
		{name: "handover of all flows, new owner, ns", cost: func(n int) float64 {
			all := encoded(handover(ownerWith(n)))
			next := newOwner(9)
			return ProcessorTime(1, func(int) { next.Step(start, owner.HandoverReceived{Chunks: decoded(all)}) })
		}},
		{name: "adoption of all flows after a crash, ns", cost: func(n int) float64 {
			next := newOwner(9)
			return float64(n) * ProcessorTime(n, func(i int) { subscribe(next, i, 1) })
		}},
	}
	for _, s := range all {
		s.sizes, s.target = flowSizes, TargetFlows
		s.run(t)
	}
}
