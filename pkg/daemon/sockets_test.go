package daemon

import (
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
)

// Guards against a socket that is opened while the daemon stops, because of a view or a configuration
// that arrives at that moment. Its readers would keep the daemon from ending.
func TestNoSocketOpensAfterStop(t *testing.T) {
	s := &sockets{host: netip.MustParseAddr("127.0.0.1"), byService: map[ident.ServiceID]*serviceSocket{}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, s.run(ctx))
	assert.NilError(t, s.setPorts(map[ident.ServiceID]uint16{1: 0}))
	assert.Equal(t, len(s.byService), 0)
}
