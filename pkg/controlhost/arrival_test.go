package controlhost

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/control/ensemble"
)

// withCalls gives hosts two data centres and an HTTP interface for the calls whose late copies are tested.
func withCalls(c *Config) {
	withDataCentres(c)
	c.Handler = func(h *Host) http.Handler {
		answer := func(w http.ResponseWriter, err error) {
			switch {
			case errors.Is(err, ensemble.ErrOvertaken):
				w.WriteHeader(http.StatusServiceUnavailable)
			case err != nil:
				w.WriteHeader(http.StatusConflict)
			}
		}
		mux := http.NewServeMux()
		mux.HandleFunc("/order/{name}/{begin}", func(w http.ResponseWriter, req *http.Request) {
			answer(w, h.OrderEvacuation(req.Context(), req.PathValue("name"), req.PathValue("begin") == "true"))
		})
		mux.HandleFunc("/announce/{start}", func(w http.ResponseWriter, req *http.Request) {
			start, err := strconv.ParseInt(req.PathValue("start"), 10, 64)
			if err == nil {
				err = h.Announce(req.Context(), readyRegistration(1, start, 1))
			}
			answer(w, err)
		})
		mux.HandleFunc("/deregister/{start}", func(w http.ResponseWriter, req *http.Request) {
			start, err := strconv.ParseInt(req.PathValue("start"), 10, 64)
			if err == nil {
				err = h.Deregister(req.Context(), 1, start)
			}
			answer(w, err)
		})
		mux.HandleFunc("/nothing", func(http.ResponseWriter, *http.Request) {})
		return mux
	}
}

// testConn is a connection of a caller. The network holds what the caller sends until call is called.
type testConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialHost(t *testing.T, h *Host, kept bool) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp4", h.cfg.ControlAddress.String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &testConn{t, conn, bufio.NewReader(conn)}
	if kept {
		assert.Equal(t, c.call("/nothing"), http.StatusOK)
	}
	time.Sleep(20 * time.Millisecond) // the host accepts the connection
	return c
}

func (c *testConn) call(path string) (status int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", path)
	assert.NilError(c.t, err)
	response, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	response.Body.Close()
	return response.StatusCode
}

// Guards against a late copy of an order that undoes one that was acknowledged after it was sent: a begin or an end,
// on a connection that was used before or was opened for it, at the host that has taken the later orders or at another
// one. Its sender does not close the connection. A new order on the same connection takes effect.
func TestLateOrderUndoesNothing(t *testing.T) {
	hosts := startHostsWith(t, 3, withCalls)
	inForce := func(h *Host) int { return evacuationsInForce(h.group.Evacuations()) }
	for _, late := range []bool{false, true} {
		for _, kept := range []bool{false, true} {
			for i, h := range hosts {
				name := fmt.Sprintf("late %s, kept connection %v, host %d", orderName(late), kept, i)
				orderEvacuation(t, hosts[0], "north", !late)
				conn, again := dialHost(t, h, kept), dialHost(t, h, kept)
				orderEvacuation(t, hosts[0], "north", late) // the same order, sent again
				orderEvacuation(t, hosts[0], "north", !late)
				path := fmt.Sprintf("/order/north/%v", late)
				assert.Equal(t, again.call(fmt.Sprintf("/order/north/%v", !late)), http.StatusOK, "%s: order that is in force", name)
				assert.Equal(t, conn.call(path), http.StatusServiceUnavailable, name)
				eventually(t, name, func() bool { return h.group.Current() })
				assert.Equal(t, inForce(h) == 1, !late, name)
				assert.Equal(t, conn.call(path), http.StatusOK, "%s: new order", name)
				assert.Equal(t, conn.call(fmt.Sprintf("/order/north/%v", !late)), http.StatusOK, "%s: next order", name)
				assert.Equal(t, inForce(h) == 1, !late, name)
			}
		}
	}
}

// Guards against a late order that undoes one which was in force before and was only given again.
func TestLateOrderUndoesNoRepeatedOrder(t *testing.T) {
	h := startHostsWith(t, 1, withCalls)[0]
	orderEvacuation(t, h, "north", true)
	conn := dialHost(t, h, true)
	orderEvacuation(t, h, "north", true)
	assert.Equal(t, conn.call("/order/north/false"), http.StatusServiceUnavailable)
	assert.Equal(t, evacuationsInForce(h.group.Evacuations()), 1)
}

// Guards against orders that are refused because of orders for other data centres, or of older ones.
func TestOrderOnOldConnection(t *testing.T) {
	h := startHostsWith(t, 1, withCalls)[0]
	orderEvacuation(t, h, "north", true)
	conn := dialHost(t, h, true)
	orderEvacuation(t, h, "south", true)
	assert.Equal(t, conn.call("/order/north/false"), http.StatusOK)
	assert.Equal(t, conn.call("/order/north/true"), http.StatusOK)
	assert.Equal(t, evacuationsInForce(h.group.Evacuations()), 2)
}

// Guards against a late deregistration that takes a later process of the same id out of use. The call names no process,
// so it is bound to the latest one when it was sent.
func TestLateDeregistrationEndsNoLaterProcess(t *testing.T) {
	for _, kept := range []bool{false, true} {
		h := startHostsWith(t, 1, withCalls)[0]
		replaceConfig(t, h, testConfig(t, 1, readyRegistration(1, 1, 1).Service))
		state := func(start int64) directory.State {
			h.mu.Lock()
			defer h.mu.Unlock()
			r, _ := h.directory.Get(directory.Incarnation{Key: 1, StartUnixMs: start})
			return r.State
		}
		assert.Equal(t, dialHost(t, h, false).call("/announce/100"), http.StatusOK)
		late, lateNamed := dialHost(t, h, kept), dialHost(t, h, kept)
		assert.Equal(t, dialHost(t, h, false).call("/announce/200"), http.StatusOK)
		assert.Equal(t, late.call("/deregister/0"), http.StatusConflict)
		assert.Equal(t, lateNamed.call("/deregister/100"), http.StatusOK)
		assert.Equal(t, state(200), directory.Ready)

		own := dialHost(t, h, kept)
		assert.Equal(t, own.call("/announce/300"), http.StatusOK)
		assert.Equal(t, own.call("/deregister/0"), http.StatusOK)
		assert.Equal(t, state(300), directory.Draining)
	}
}

// Guards against a call that counts as new although it has waited in the socket of a process that was stopped.
func TestCallThatWaitedInSocketIsOld(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	sender, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer sender.Close()
	_, err = sender.Write([]byte("POST"))
	assert.NilError(t, err)
	sent := time.Now()
	time.Sleep(300 * time.Millisecond)
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	c := withCallerConn(t.Context(), conn).Value(callerConnKey{}).(*callerConn)
	since := c.beginCall(time.Now())
	// The kernel counts in ticks of up to 10 ms.
	assert.Assert(t, since.Before(sent.Add(50*time.Millisecond)), "read %s after it was sent", time.Since(sent))
}
