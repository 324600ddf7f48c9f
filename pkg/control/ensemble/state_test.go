package ensemble

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
)

func orderEntry(t *testing.T, dataCentre string, begin bool, base uint64) []byte {
	t.Helper()
	data, err := proto.Marshal(&entrypb.ProposeRequest{EvacuationOrder: &entrypb.EvacuationOrder{DataCentre: dataCentre, Begin: begin, BaseRevision: base}})
	assert.NilError(t, err)
	return data
}

// Guards against late copies that undo a later order, and against repeated or contrary orders that are refused.
// The entries have the indexes 1, 2, 3 and so on.
func TestOrders(t *testing.T) {
	type step struct {
		begin    bool
		base     uint64
		rejected error
		inForce  bool   // after the step
		revision uint64 // of all evacuations after the step
	}
	for name, steps := range map[string][]step{
		"begin and end":                                {{true, 0, nil, true, 1}, {false, 1, nil, false, 2}, {true, 2, nil, true, 3}},
		"repeated begin":                               {{true, 0, nil, true, 1}, {true, 1, nil, true, 1}, {false, 2, nil, false, 3}},
		"copy of the same order":                       {{true, 0, nil, true, 1}, {true, 0, nil, true, 1}, {false, 1, nil, false, 3}},
		"end without a beginning":                      {{false, 0, nil, false, 0}, {false, 1, nil, false, 0}},
		"late copy of the beginning":                   {{true, 0, nil, true, 1}, {false, 1, nil, false, 2}, {true, 0, ErrOvertaken, false, 2}},
		"late copy of the end":                         {{true, 0, nil, true, 1}, {false, 1, nil, false, 2}, {true, 2, nil, true, 3}, {false, 1, ErrOvertaken, true, 3}},
		"late beginning after an end that found none":  {{false, 0, nil, false, 0}, {true, 0, ErrOvertaken, false, 0}, {true, 1, nil, true, 3}},
		"late end after a beginning that was repeated": {{true, 0, nil, true, 1}, {true, 1, nil, true, 1}, {false, 1, ErrOvertaken, true, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState()
			for i, step := range steps {
				rejected, err := s.apply(uint64(i+1), orderEntry(t, "north", step.begin, step.base))
				assert.NilError(t, err)
				assert.Equal(t, rejected, step.rejected, "step %d", i)
				assert.Equal(t, latestOrder(s.evacuations, "north").GetInForce(), step.inForce, "step %d", i)
				assert.Equal(t, s.evacuations.GetRevision(), step.revision, "step %d", i)
			}
		})
	}
}

// Guards against orders for one data centre that touch another one, and against a published state that a later
// order modifies.
func TestOrdersOfTwoDataCentres(t *testing.T) {
	s := newState()
	for i, dataCentre := range []string{"south", "north", "east"} {
		before, size := s.evacuations, len(s.evacuations.GetDataCentres())
		rejected, err := s.apply(uint64(i+1), orderEntry(t, dataCentre, true, 0))
		assert.NilError(t, err)
		assert.NilError(t, rejected)
		assert.Equal(t, len(before.GetDataCentres()), size)
	}
	published := s.evacuations
	_, err := s.apply(4, orderEntry(t, "north", false, 2))
	assert.NilError(t, err)
	assert.Assert(t, latestOrder(published, "north").GetInForce() && !latestOrder(s.evacuations, "north").GetInForce())
	assert.Assert(t, latestOrder(s.evacuations, "south").GetInForce() && latestOrder(s.evacuations, "east").GetInForce())
}

// Guards against snapshots that lose evacuations or the document.
func TestSnapshotOfState(t *testing.T) {
	s := newState()
	_, err := s.apply(1, orderEntry(t, "north", true, 0))
	assert.NilError(t, err)
	data, err := proto.Marshal(&entrypb.ProposeRequest{Version: 3, Content: []byte("three")})
	assert.NilError(t, err)
	_, err = s.apply(2, data)
	assert.NilError(t, err)
	snapshot, err := s.marshal()
	assert.NilError(t, err)
	restored, err := restoreState(&agreement.Snapshot{Data: snapshot})
	assert.NilError(t, err)
	assert.Equal(t, restored.document.Version, uint64(3))
	assert.Assert(t, proto.Equal(restored.evacuations, s.evacuations))
	version, content := decodeAsOldRelease(t, snapshot)
	assert.Equal(t, version, uint64(3))
	assert.Equal(t, string(content), "three")
}

// decodeAsOldRelease reads an entry as releases without evacuations do: a version and a content.
func decodeAsOldRelease(t *testing.T, data []byte) (version uint64, content []byte) {
	t.Helper()
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		assert.Assert(t, n > 0)
		data = data[n:]
		switch number {
		case 1:
			version, n = protowire.ConsumeVarint(data)
		case 2:
			content, n = protowire.ConsumeBytes(data)
		default:
			n = protowire.ConsumeFieldValue(number, kind, data)
		}
		assert.Assert(t, n > 0)
		data = data[n:]
	}
	return version, content
}

// Guards against entries of releases without evacuations that cannot be read, and against orders that such a
// release takes for a document.
func TestFormatOfOldRelease(t *testing.T) {
	old := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 7)
	old = protowire.AppendString(protowire.AppendTag(old, 2, protowire.BytesType), "seven")
	s := newState()
	rejected, err := s.apply(1, old)
	assert.NilError(t, err)
	assert.NilError(t, rejected)
	assert.Equal(t, string(s.document.Content), "seven")
	restored, err := restoreState(&agreement.Snapshot{Data: old})
	assert.NilError(t, err)
	assert.Equal(t, restored.document.Version, uint64(7))
	assert.Equal(t, restored.evacuations.GetRevision(), uint64(0))
	version, content := decodeAsOldRelease(t, orderEntry(t, "north", true, 5))
	assert.Equal(t, version, uint64(0)) // a document of version 0 changes nothing
	assert.Equal(t, len(content), 0)
}
