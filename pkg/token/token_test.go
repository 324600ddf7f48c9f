package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
)

var testKeys = []Key{{ID: 1, Secret: []byte("0123456789abcdef")}, {ID: 2, Secret: []byte("fedcba9876543210")}}

func testClaims() Claims {
	return Claims{
		Service: 7, DataCentre: 3, Upstream: 11, UpstreamIncarnation: 5,
		Owner: 13, OwnerIncarnation: 17, IssuedAt: time.UnixMilli(1_700_000_000_123),
	}
}

// Guards against claims that differ after issuing and verifying a token.
func TestTokenRoundTrip(t *testing.T) {
	codec := NewCodec(testKeys)
	want := testClaims()
	tok := codec.Append(nil, 99, &want)
	assert.Equal(t, len(tok), Size)
	got, err := codec.Verify(99, tok)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// Guards against accepting a token of another flow, with a changed byte, or signed with a retired
// key.
func TestVerifyRejectsInvalidTokens(t *testing.T) {
	codec := NewCodec(testKeys)
	claims := testClaims()
	tok := codec.Append(nil, 99, &claims)
	_, err := codec.Verify(98, tok)
	assert.ErrorIs(t, err, errForged)
	_, err = codec.Verify(99, tok[:Size-1])
	assert.ErrorIs(t, err, errMalformed)
	for i := range tok {
		changed := append([]byte(nil), tok...)
		changed[i] ^= 1
		_, err := codec.Verify(99, changed)
		assert.Assert(t, err != nil, "byte %d", i)
	}
	_, err = NewCodec(testKeys[:1]).Verify(99, tok)
	assert.ErrorIs(t, err, errUnknownKey)
}

// Guards against a key rotation that invalidates tokens signed with the previous key.
func TestPreviousKeyIsAccepted(t *testing.T) {
	claims := testClaims()
	tok := NewCodec(testKeys[:1]).Append(nil, 99, &claims)
	_, err := NewCodec(testKeys).Verify(99, tok)
	assert.NilError(t, err)
}

func BenchmarkVerify(b *testing.B) {
	codec := NewCodec(testKeys)
	claims := testClaims()
	tok := codec.Append(nil, 99, &claims)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := codec.Verify(99, tok); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzVerify(f *testing.F) {
	codec := NewCodec(testKeys)
	claims := testClaims()
	f.Add(uint64(99), codec.Append(nil, 99, &claims))
	f.Fuzz(func(t *testing.T, flow uint64, tok []byte) {
		_, _ = codec.Verify(ident.FlowID(flow), tok)
	})
}
