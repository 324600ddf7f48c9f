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

const service, upstreamID = ident.ServiceID(1), ident.UpstreamID(2)

// newOwner returns an owner core with one connected upstream.
func newOwner(self ident.DaemonID) *owner.Core {
	c := owner.NewCore(owner.Config{Self: self, Incarnation: 1, Keys: keys})
	c.Step(startTime, owner.ServicesChanged{Services: owner.ServiceMap{service: {
		Classes: []dispatch.Class{{Name: "tally", Share: 1, QueueLimit: 10}}, FlowIdle: 1 << 40,
	}}})
	up := owner.UpstreamUp{Service: service, Upstream: upstreamID, Incarnation: 1, Slots: 3, FlowLimit: 1 << 30}
	c.Step(startTime, up)
	return c
}

func openFlow(c *owner.Core, i int) {
	c.Step(startTime, owner.OpenReceived{Caller: address(i), Service: service, Flow: ident.FlowID(i + 1), Upstream: upstreamID})
	subscribe(c, i, 1)
}

// subscribe subscribes a flow with a token issued by the given owner.
func subscribe(c *owner.Core, i int, issuer ident.DaemonID) {
	c.Step(startTime, owner.FrameReceived{
		Caller: address(i),
		Claims: token.Claims{Service: service, Upstream: upstreamID, UpstreamIncarnation: 1, Owner: issuer, OwnerIncarnation: 1, IssuedAt: startTime},
		Frame:  &wirepb.Frame{FlowId: uint64(i + 1), Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press-line-7"}}},
	})
}

func newOwnerWithFlows(flows int) *owner.Core {
	c := newOwner(1)
	for i := range flows {
		openFlow(c, i)
	}
	return c
}

func handoverChunks(c *owner.Core) (chunks []*peerpb.HandoverChunk) {
	for _, a := range c.Step(startTime, owner.HandoverRequested{Upstream: upstreamID, To: 9, Incarnation: 1}) {
		if h, ok := a.(owner.SendHandover); ok {
			chunks = h.Chunks
		}
	}
	return chunks
}

func encodeChunks(chunks []*peerpb.HandoverChunk) (encoded [][]byte) {
	for _, ch := range chunks {
		b, _ := proto.Marshal(ch)
		encoded = append(encoded, b)
	}
	return encoded
}

func decodeChunks(encoded [][]byte) (chunks []*peerpb.HandoverChunk) {
	for _, b := range encoded {
		ch := new(peerpb.HandoverChunk)
		_ = proto.Unmarshal(b, ch)
		chunks = append(chunks, ch)
	}
	return chunks
}

// TestFlows measures open flows with a feed, their handover to another owner, and their adoption by
// another owner after a crash.
func TestFlows(t *testing.T) {
	skipUnlessMeasuring(t)
	all := []series{
		{name: "open flows with a feed, live bytes", cost: func(n int) float64 {
			return LiveBytes(func() any { return newOwnerWithFlows(n) })
		}},
		{name: "opening and subscribing all flows, ns", cost: func(n int) float64 {
			c := newOwner(1)
			return float64(n) * ProcessorTime(n, func(i int) { openFlow(c, i) })
		}},
		{name: "tick with all flows open, ns", cost: func(n int) float64 {
			c := newOwnerWithFlows(n)
			return ProcessorTime(100, func(int) { c.Step(startTime, owner.Tick{}) })
		}},
		{name: "handover of all flows, old owner, ns", cost: func(n int) float64 {
			c := newOwnerWithFlows(n)
			return ProcessorTime(1, func(int) { encodeChunks(handoverChunks(c)) })
		}},
		{name: "handover of all flows, bytes", cost: func(n int) float64 {
			size := 0
			for _, b := range encodeChunks(handoverChunks(newOwnerWithFlows(n))) {
				size += len(b)
			}
			return float64(size)
		}},
		{name: "handover of all flows, new owner, ns", cost: func(n int) float64 {
			encoded := encodeChunks(handoverChunks(newOwnerWithFlows(n)))
			nextOwner := newOwner(9)
			return ProcessorTime(1, func(int) { nextOwner.Step(startTime, owner.HandoverReceived{Chunks: decodeChunks(encoded)}) })
		}},
		{name: "adoption of all flows after a crash, ns", cost: func(n int) float64 {
			nextOwner := newOwner(9)
			return float64(n) * ProcessorTime(n, func(i int) { subscribe(nextOwner, i, 1) })
		}},
	}
	for _, s := range all {
		s.sizes, s.target = flowSizes, TargetFlowsPerDaemon
		s.run(t)
	}
}
