package frame

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
)

// Guards against a relaying daemon that reads another token or flow id than the owner decodes.
func TestReadHeaderAgreesWithDecode(t *testing.T) {
	in := &wirepb.Frame{Token: []byte("token"), FlowId: 42, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}}
	b, err := Encode(nil, in)
	assert.NilError(t, err)
	assert.Assert(t, len(b) >= MinOpenSize)
	h, err := ReadHeader(b)
	assert.NilError(t, err)
	assert.Equal(t, string(h.Token), "token")
	assert.Equal(t, uint64(h.FlowID), uint64(42))
	out, err := Decode(b)
	assert.NilError(t, err)
	assert.Equal(t, out.FlowId, uint64(42))
}

// Guards against accepting an open that is smaller than its reply.
func TestDecodeRefusesSmallOpen(t *testing.T) {
	b := []byte{0x11, 1, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0}
	_, err := Decode(b)
	var frameErr *Error
	assert.Assert(t, errors.As(err, &frameErr))
	assert.Equal(t, frameErr.Kind, Undersize)
}

// Guards against answers that are joined wrongly when parts arrive delayed, duplicated or out of
// order.
func TestAssemblyInAnyOrder(t *testing.T) {
	payload := bytes.Repeat([]byte("0123456789"), 500)
	n := PartCount(len(payload))
	a := NewAssembly(n)
	for i := n - 1; i >= 0; i-- {
		assert.Assert(t, a.Add(i, n, Part(payload, i)))
		assert.Assert(t, !a.Add(i, n, Part(payload, i)))
	}
	assert.Assert(t, a.Complete())
	assert.DeepEqual(t, a.Payload(), payload)
	assert.Assert(t, HasPart(a.PartsHeld(), n-1) && !HasPart(a.PartsHeld(), n))
}

func BenchmarkReadHeader(b *testing.B) {
	in := &wirepb.Frame{Token: make([]byte, 73), FlowId: 42, Body: &wirepb.Frame_Request{Request: &wirepb.Request{Parts: 1, Payload: make([]byte, 200)}}}
	data, err := Encode(nil, in)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ReadHeader(data); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x11, 1, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b)
		h, headerErr := ReadHeader(b)
		if err == nil && headerErr == nil && len(h.Token) == 0 && len(frame.Token) != 0 {
			t.Fatal("ReadHeader does not return the token that Decode returns")
		}
	})
}
