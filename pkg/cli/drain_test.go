package cli

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/daemon"
)

// Guards against a drain of an upstream with the same name in another data centre.
func TestDrainFindsUpstreamInItsDataCentre(t *testing.T) {
	status := &daemon.Status{Upstreams: []daemon.UpstreamStatus{
		{Service: "a/s", Name: "one", DataCentre: "x", Incarnation: 1},
		{Service: "a/s", Name: "one", DataCentre: "y", Incarnation: 2},
	}}
	d := drainFlags{service: "a/s", upstream: "one", dataCentre: "y"}
	incarnation, err := d.findIncarnation(status)
	assert.NilError(t, err)
	assert.Equal(t, incarnation, uint64(2))
	d.upstream = "two"
	_, err = d.findIncarnation(status)
	assert.ErrorContains(t, err, "see rosemarygate status")
}
