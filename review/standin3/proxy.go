package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands on the way from an operator to a control host. While it holds, it keeps what is sent, as a partition
// does, and passes it on afterwards in the order in which it was sent: a segment, and after a round trip what
// follows it.
type proxy struct {
	listener  net.Listener
	target    string
	roundTrip time.Duration
	mu        sync.Mutex
	open      chan struct{} // closed while the proxy passes everything on
}

func newProxy(listen, target string, roundTrip time.Duration) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, roundTrip: roundTrip, open: make(chan struct{})}
	close(p.open)
	go p.run()
	return p, nil
}

// hold makes the proxy keep what is sent until release.
func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

func (p *proxy) awaitOpen() (waited bool) {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	select {
	case <-open:
		return false
	default:
	}
	<-open
	return true
}

func (p *proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(from)
	}
}

// pass passes on one connection.
func (p *proxy) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(from, to) // an error ends the connection
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		waited := p.awaitOpen()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
			if waited {
				time.Sleep(p.roundTrip)
			}
		}
		if err != nil {
			break
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite() // the end of the sender arrives after its bytes
	}
	<-done
}
