package reason

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic or an empty name for an unknown reason, which a newer release may send.
func TestUnknownReasonIsNamedByItsNumber(t *testing.T) {
	type color uint8
	table := Table[color]{1: {"red", "wait"}, 2: {"green", "go"}}
	assert.DeepEqual(t, table.All(), []color{1, 2})
	assert.Equal(t, table.Name(2), "green")
	assert.Equal(t, table.Remedy(1), "wait")
	assert.Equal(t, table.Name(9), "reason_9")
	assert.Equal(t, table.Remedy(9), "")
}
