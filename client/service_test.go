package client_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/client"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/token"
)

// faults are what the network does to datagrams in both directions; ratios from 0 to 1.
type faults struct{ loss, duplicate, reorder float64 }

// service is an owner core behind a network with faults, in memory. Its upstream answers
// with the request id and then the payload, or as many bytes as the payload asks for.
type service struct {
	t       *testing.T
	core    *owner.Core
	codec   *token.Codec
	in      chan owner.Event
	up      chan []byte // to the core
	down    chan []byte // to the client
	quit    chan struct{}
	stopped sync.Once

	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	runs   map[ident.RequestID]int
}

const (
	testService  = ident.ServiceID(1)
	testUpstream = ident.UpstreamID(2)
	socketQueue  = 128 // datagrams that a socket buffer holds
)

var caller = netip.MustParseAddrPort("127.0.0.1:999")

func newService(t *testing.T, f faults) *service {
	keys := []token.Key{{ID: 1, Secret: []byte("0123456789abcdef")}}
	s := &service{
		t: t, core: owner.NewCore(owner.Config{Self: 1, Incarnation: 1, Keys: keys}), codec: token.NewCodec(keys),
		in: make(chan owner.Event, 64), up: make(chan []byte, socketQueue), down: make(chan []byte, socketQueue),
		quit: make(chan struct{}), faults: f, rng: rand.New(rand.NewPCG(1, 2)), runs: map[ident.RequestID]int{},
	}
	s.core.Step(time.Now(), owner.ServicesChanged{Services: owner.ServiceMap{testService: {
		Classes:   []dispatch.Class{{Name: "any", Share: 0.5, QueueLimit: 100}},
		Deadlines: []time.Duration{time.Minute},
	}}})
	s.core.Step(time.Now(), owner.UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 4, FlowLimit: 100})
	go s.run()
	t.Cleanup(func() { s.Close() })
	return s
}

func (s *service) run() {
	ticker := time.NewTicker(owner.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-ticker.C:
			s.step(owner.Tick{})
		case ev := <-s.in:
			s.step(ev)
		case b := <-s.up:
			s.datagram(b)
		}
	}
}

func (s *service) datagram(b []byte) {
	fr, err := frame.Decode(b)
	assert.NilError(s.t, err)
	if fr.GetOpen() != nil {
		s.step(owner.OpenReceived{Caller: caller, Service: testService, Flow: ident.FlowID(fr.FlowId), Upstream: testUpstream})
		return
	}
	claims, err := s.codec.Verify(ident.FlowID(fr.FlowId), fr.Token)
	assert.NilError(s.t, err)
	s.step(owner.FrameReceived{Caller: caller, Claims: claims, Frame: fr})
}

func (s *service) step(ev owner.Event) {
	for _, a := range s.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case owner.SendFrame:
			b, err := frame.Encode(nil, a.Frame)
			assert.NilError(s.t, err)
			s.network(s.down, b)
		case owner.Execute:
			go s.execute(a)
		}
	}
}

func (s *service) execute(a owner.Execute) {
	s.mu.Lock()
	s.runs[a.Request]++
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	answer := binary.BigEndian.AppendUint64(nil, uint64(a.Request))
	if size := sizeOf(a.Payload); size > 0 {
		for len(answer) < size {
			answer = append(answer, byte(len(answer)))
		}
	} else {
		answer = append(answer, a.Payload...)
	}
	select {
	case s.in <- owner.ExecuteDone{Upstream: testUpstream, Call: a.Call, Result: owner.Answered, Payload: answer}:
	case <-s.quit:
	}
}

// sizeOf returns the answer's size that a payload of four bytes asks for.
func sizeOf(payload []byte) int {
	if len(payload) != 4 {
		return 0
	}
	return int(binary.BigEndian.Uint32(payload))
}

// network delivers a datagram, or does to it what the faults say. A full queue drops it, as
// a socket buffer does.
func (s *service) network(to chan []byte, b []byte) {
	s.mu.Lock()
	f := s.faults
	lost, twice, late := s.rng.Float64() < f.loss, s.rng.Float64() < f.duplicate, s.rng.Float64() < f.reorder
	s.mu.Unlock()
	deliver := func() {
		select {
		case to <- b:
		default:
		}
	}
	switch {
	case lost:
	case late:
		time.AfterFunc(20*time.Millisecond, deliver)
	default:
		deliver()
	}
	if twice {
		deliver()
	}
}

// Send, Receive and Close make the service a client.Transport.
func (s *service) Send(b []byte) error {
	s.network(s.up, append([]byte(nil), b...))
	return nil
}

func (s *service) Receive(b []byte) (int, error) {
	select {
	case d := <-s.down:
		return copy(b, d), nil
	case <-s.quit:
		return 0, net.ErrClosed
	}
}

func (s *service) Close() error {
	s.stopped.Do(func() { close(s.quit) })
	return nil
}

// inject gives the client a frame that the service did not send.
func (s *service) inject(fr *wirepb.Frame) {
	b, err := frame.Encode(nil, fr)
	assert.NilError(s.t, err)
	s.down <- b
}

var _ client.Transport = (*service)(nil)
