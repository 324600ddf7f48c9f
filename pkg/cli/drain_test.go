package cli

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/daemon"
)

// Guards against a drain of another upstream of the same name.
func TestDrainNamesOneUpstream(t *testing.T) {
	st := &daemon.Status{Upstreams: []daemon.UpstreamStatus{
		{Service: "a/s", Name: "one", DataCentre: "x", Incarnation: 1},
		{Service: "a/s", Name: "one", DataCentre: "y", Incarnation: 2},
	}}
	d := drainFlags{service: "a/s", upstream: "one", dataCentre: "y"}
	incarnation, err := d.incarnation(st)
	assert.NilError(t, err)
	assert.Equal(t, incarnation, uint64(2))
	d.upstream = "two"
	_, err = d.incarnation(st)
	assert.ErrorContains(t, err, "see rosemarygate status")
}
