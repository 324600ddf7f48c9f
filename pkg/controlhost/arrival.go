package controlhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Age of calls.
//
// A call may be under way for long: the network holds it during a partition, or it waits in the socket of a process that
// is stopped. Its sender gives up after a second and calls another host, and other calls may be acknowledged before the
// late copy is read. Orders and some deregistrations have no number that tells a late copy from a new call. What the
// host knows is that a caller sends a call on a connection that is open, and after the answer to the call before: a call
// is no older than that. What has changed since then may have been ordered after the call.

// callerConn is a connection of an upstream or an operator.
type callerConn struct {
	conn net.Conn

	mu        sync.Mutex
	sentAfter time.Time // the next call on the connection is sent later
}

type callerConnKey struct{}

// withCallerConn is the ConnContext of the HTTP server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn, sentAfter: time.Now()})
}

type sentAfterKey struct{}

// recordArrivals records for each call a time after which it was sent.
func recordArrivals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx := req.Context()
		if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
			ctx = context.WithValue(ctx, sentAfterKey{}, c.beginCall(time.Now()))
		}
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}

// beginCall returns a time after which a call was sent that is read now. The answer to it is not sent yet.
func (c *callerConn) beginCall(now time.Time) (sentAfter time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAfter = c.sentAfter
	c.sentAfter = now
	if arrived := now.Add(-waitedInSocket(c.conn)); arrived.Before(sentAfter) {
		return arrived // the process was stopped before it accepted the connection
	}
	return sentAfter
}

// minSocketWait is the shortest wait in the socket that counts. The kernel counts in ticks of up to 10 ms.
const minSocketWait = 50 * time.Millisecond

// waitedInSocket returns the time since data arrived last on a connection, 0 if it is short or the system does not tell.
func waitedInSocket(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return 0
	}
	if wait := time.Duration(info.Last_data_recv) * time.Millisecond; wait >= minSocketWait {
		return wait
	}
	return 0
}

// sentAfter returns a time after which the call of a context was sent.
func sentAfter(ctx context.Context) time.Time {
	if t, ok := ctx.Value(sentAfterKey{}).(time.Time); ok {
		return t
	}
	return time.Now()
}

// answerNow records that the next call on the connection of a context is sent after the present moment.
func answerNow(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sentAfter = time.Now()
	}
}
