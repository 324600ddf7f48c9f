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

// faults are the ratios, from 0 to 1, of datagrams that the network loses, duplicates and reorders in
// each direction.
type faults struct{ loss, duplicate, reorder float64 }

// simulatedService is an in-memory owner core behind a network with faults. Its upstream answers with
// the request id and then the payload, or with as many bytes as the payload requests.
type simulatedService struct {
	t         *testing.T
	core      *owner.Core
	codec     *token.Codec
	events    chan owner.Event
	toCore    chan []byte // datagrams from the client
	toClient  chan []byte // datagrams to the client
	closed    chan struct{}
	closeOnce sync.Once

	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	runs   map[ident.RequestID]int
}

const (
	testService  = ident.ServiceID(1)
	testUpstream = ident.UpstreamID(2)
	socketQueue  = 128 // capacity of a simulated socket buffer in datagrams
)

var callerAddress = netip.MustParseAddrPort("127.0.0.1:999")

func newSimulatedService(t *testing.T, f faults) *simulatedService {
	keys := []token.Key{{ID: 1, Secret: []byte("0123456789abcdef")}}
	s := &simulatedService{
		t: t, core: owner.NewCore(owner.Config{Self: 1, Incarnation: 1, Keys: keys}), codec: token.NewCodec(keys),
		events: make(chan owner.Event, 64), toCore: make(chan []byte, socketQueue), toClient: make(chan []byte, socketQueue),
		closed: make(chan struct{}), faults: f, rng: rand.New(rand.NewPCG(1, 2)), runs: map[ident.RequestID]int{},
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

func (s *simulatedService) run() {
	ticker := time.NewTicker(owner.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
			s.step(owner.Tick{})
		case ev := <-s.events:
			s.step(ev)
		case b := <-s.toCore:
			s.handleDatagram(b)
		}
	}
}

func (s *simulatedService) handleDatagram(b []byte) {
	fr, err := frame.Decode(b)
	assert.NilError(s.t, err)
	if fr.GetOpen() != nil {
		s.step(owner.OpenReceived{Caller: callerAddress, Service: testService, Flow: ident.FlowID(fr.FlowId), Upstream: testUpstream})
		return
	}
	claims, err := s.codec.Verify(ident.FlowID(fr.FlowId), fr.Token)
	assert.NilError(s.t, err)
	s.step(owner.FrameReceived{Caller: callerAddress, Claims: claims, Frame: fr})
}

func (s *simulatedService) step(ev owner.Event) {
	for _, a := range s.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case owner.SendFrame:
			b, err := frame.Encode(nil, a.Frame)
			assert.NilError(s.t, err)
			s.transmit(s.toClient, b)
		case owner.Execute:
			go s.execute(a)
		}
	}
}

func (s *simulatedService) execute(a owner.Execute) {
	s.mu.Lock()
	s.runs[a.Request]++
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	answer := binary.BigEndian.AppendUint64(nil, uint64(a.Request))
	if size := requestedAnswerSize(a.Payload); size > 0 {
		for len(answer) < size {
			answer = append(answer, byte(len(answer)))
		}
	} else {
		answer = append(answer, a.Payload...)
	}
	select {
	case s.events <- owner.ExecuteDone{Upstream: testUpstream, Call: a.Call, Result: owner.Answered, Payload: answer}:
	case <-s.closed:
	}
}

// requestedAnswerSize returns the answer size that a payload of four bytes requests, or 0 for other
// payloads.
func requestedAnswerSize(payload []byte) int {
	if len(payload) != 4 {
		return 0
	}
	return int(binary.BigEndian.Uint32(payload))
}

// transmit puts a datagram into the queue, subject to the faults. A full queue drops it, as a socket
// buffer does.
func (s *simulatedService) transmit(queue chan []byte, b []byte) {
	s.mu.Lock()
	f := s.faults
	lost, duplicated, reordered := s.rng.Float64() < f.loss, s.rng.Float64() < f.duplicate, s.rng.Float64() < f.reorder
	s.mu.Unlock()
	deliver := func() {
		select {
		case queue <- b:
		default:
		}
	}
	switch {
	case lost:
	case reordered:
		time.AfterFunc(20*time.Millisecond, deliver)
	default:
		deliver()
	}
	if duplicated {
		deliver()
	}
}

// Send, Receive and Close implement client.Transport.
func (s *simulatedService) Send(b []byte) error {
	s.transmit(s.toCore, append([]byte(nil), b...))
	return nil
}

func (s *simulatedService) Receive(b []byte) (int, error) {
	select {
	case d := <-s.toClient:
		return copy(b, d), nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *simulatedService) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// inject delivers a frame to the client that the service did not send.
func (s *simulatedService) inject(fr *wirepb.Frame) {
	b, err := frame.Encode(nil, fr)
	assert.NilError(s.t, err)
	s.toClient <- b
}

var _ client.Transport = (*simulatedService)(nil)
