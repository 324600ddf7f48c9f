// Package token issues and verifies flow tokens.
//
// A token names the service, the upstream and the owner of a flow, so that any daemon
// can route a packet from the token alone. Its MAC covers the flow id, so a token is
// invalid on another flow.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"hash"
	"time"

	"rosemarygate/pkg/ident"
)

const (
	version     = 1
	macSize     = 16 // bytes; HMAC-SHA256 truncated
	bodySize    = 1 + 4 + 8 + 4 + 8 + 8 + 8 + 8 + 8
	keyIDOffset = 1

	// Size is the length of an encoded token in bytes.
	Size = bodySize + macSize

	// MinKeySize is the shortest key accepted, in bytes.
	MinKeySize = 16
)

// Claims are the contents of a token.
type Claims struct {
	Service             ident.ServiceID
	DataCentre          ident.DataCentreID
	Upstream            ident.UpstreamID
	UpstreamIncarnation ident.Incarnation
	Owner               ident.DaemonID
	OwnerIncarnation    ident.Incarnation
	IssuedAt            time.Time // by the owner's clock, millisecond resolution
}

// ErrorKind is the reason why a token was refused.
type ErrorKind uint8

// Reasons to refuse a token.
const (
	Malformed  ErrorKind = iota + 1 // wrong length or version
	UnknownKey                      // signed with a key that the codec does not have
	Forged                          // the MAC does not match the token and flow
)

// Error is a refused token.
type Error struct{ Kind ErrorKind }

// Error returns the reason and the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case Malformed:
		return "token is malformed: send the token of the last Opened or KeepAliveAck unchanged"
	case UnknownKey:
		return "token key has been retired: open the flow again"
	default:
		return "token does not belong to this flow: send the token with the flow id it was issued for"
	}
}

// The errors are shared values, so that refusing a packet does not allocate.
var (
	errMalformed  = &Error{Malformed}
	errUnknownKey = &Error{UnknownKey}
	errForged     = &Error{Forged}
)

// Key is one signing key.
type Key struct {
	ID     uint32
	Secret []byte
}

// Codec issues and verifies tokens. It reuses MAC states and is not safe for concurrent use; each
// goroutine that handles packets has its own.
type Codec struct {
	signingKeyID uint32
	macs         map[uint32]hash.Hash
	macBuffer    [sha256.Size]byte
	flowIDBuffer [8]byte
}

// NewCodec returns a codec that signs with the last key and accepts tokens of all keys.
func NewCodec(keys []Key) *Codec {
	c := &Codec{macs: make(map[uint32]hash.Hash, len(keys))}
	for _, k := range keys {
		c.macs[k.ID] = hmac.New(sha256.New, k.Secret)
		c.signingKeyID = k.ID
	}
	return c
}

// Append appends the encoded token with the claims for the flow to b. Without a key it appends
// nothing.
func (c *Codec) Append(b []byte, flow ident.FlowID, claims *Claims) []byte {
	mac, ok := c.macs[c.signingKeyID]
	if !ok {
		return b
	}
	start := len(b)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, c.signingKeyID)
	b = binary.BigEndian.AppendUint64(b, uint64(claims.Service))
	b = binary.BigEndian.AppendUint32(b, uint32(claims.DataCentre))
	b = binary.BigEndian.AppendUint64(b, uint64(claims.Upstream))
	b = binary.BigEndian.AppendUint64(b, uint64(claims.UpstreamIncarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(claims.Owner))
	b = binary.BigEndian.AppendUint64(b, uint64(claims.OwnerIncarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(claims.IssuedAt.UnixMilli()))
	return append(b, c.computeMAC(mac, flow, b[start:])[:macSize]...)
}

// Verify checks the token against the flow and returns its claims. The error is an *Error.
func (c *Codec) Verify(flow ident.FlowID, tok []byte) (Claims, error) {
	if len(tok) != Size || tok[0] != version {
		return Claims{}, errMalformed
	}
	mac, ok := c.macs[binary.BigEndian.Uint32(tok[keyIDOffset:])]
	if !ok {
		return Claims{}, errUnknownKey
	}
	if subtle.ConstantTimeCompare(c.computeMAC(mac, flow, tok[:bodySize])[:macSize], tok[bodySize:]) != 1 {
		return Claims{}, errForged
	}
	return decodeClaims(tok), nil
}

func (c *Codec) computeMAC(mac hash.Hash, flow ident.FlowID, body []byte) []byte {
	mac.Reset()
	binary.BigEndian.PutUint64(c.flowIDBuffer[:], uint64(flow))
	mac.Write(c.flowIDBuffer[:])
	mac.Write(body)
	return mac.Sum(c.macBuffer[:0])
}

func decodeClaims(tok []byte) Claims {
	return Claims{
		Service:             ident.ServiceID(binary.BigEndian.Uint64(tok[5:])),
		DataCentre:          ident.DataCentreID(binary.BigEndian.Uint32(tok[13:])),
		Upstream:            ident.UpstreamID(binary.BigEndian.Uint64(tok[17:])),
		UpstreamIncarnation: ident.Incarnation(binary.BigEndian.Uint64(tok[25:])),
		Owner:               ident.DaemonID(binary.BigEndian.Uint64(tok[33:])),
		OwnerIncarnation:    ident.Incarnation(binary.BigEndian.Uint64(tok[41:])),
		IssuedAt:            time.UnixMilli(int64(binary.BigEndian.Uint64(tok[49:]))),
	}
}
