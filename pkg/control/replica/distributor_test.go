package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/state"
)

// Guards against a push that reports one daemon too few: its replica has just ended, and the daemon does
// not watch another replica yet.
func TestCountIsNotFinalWhileDaemonsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDistributor("a", &state.View{})
		d.receiveProgress(&controlpb.Progress{Replica: "b", Counts: []*controlpb.VersionCount{{Version: 2, Daemons: 5}}})
		d.receiveProgress(&controlpb.Progress{Replica: "c", Counts: []*controlpb.VersionCount{{Version: 1, Daemons: 2}}})
		_, _, final := d.countInForce(2)
		assert.Assert(t, final)
		d.dropProgress("c")
		inForce, daemons, final := d.countInForce(2)
		assert.Equal(t, inForce, 5)
		assert.Equal(t, daemons, 5)
		assert.Assert(t, !final, "two daemons watch no replica yet")
		time.Sleep(moveTime)
		d.receiveProgress(&controlpb.Progress{Replica: "b", Counts: []*controlpb.VersionCount{{Version: 2, Daemons: 6}}})
		inForce, daemons, final = d.countInForce(2)
		assert.Equal(t, inForce, 6)
		assert.Equal(t, daemons, 6)
		assert.Assert(t, final, "the seventh daemon was that of the ended replica")
	})
}
