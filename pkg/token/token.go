// Package token mints and verifies flow tokens.
//
// A token names the service, the upstream and the owner of a flow, so that any daemon
// routes a packet from the token alone. Its MAC covers the flow id, so a token is of no
// use on another flow.
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
	version   = 1
	macSize   = 16 // bytes; HMAC-SHA256 truncated
	bodySize  = 1 + 4 + 8 + 4 + 8 + 8 + 8 + 8 + 8
	keyOffset = 1

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
	IssuedAt            time.Time // the owner's clock, millisecond resolution
}

// Kind classifies a refused token.
type Kind uint8

// Kinds of refused tokens.
const (
	Malformed  Kind = iota + 1 // wrong length or version
	UnknownKey                 // signed with a key that is not in the ring
	Forged                     // the MAC does not match the token and flow
)

// Error is a refused token.
type Error struct{ Kind Kind }

// Error names the reason and the remedy.
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

// Refusals are shared values, so that refusing a packet allocates nothing.
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

// Codec mints and verifies tokens. It holds reusable MAC states and is not safe for
// concurrent use; each goroutine that handles packets has its own.
type Codec struct {
	signing uint32
	macs    map[uint32]hash.Hash
	sum     [sha256.Size]byte
	flow    [8]byte
}

// NewCodec returns a codec that signs with the last key and accepts all of them.
func NewCodec(keys []Key) *Codec {
	c := &Codec{macs: make(map[uint32]hash.Hash, len(keys))}
	for _, k := range keys {
		c.macs[k.ID] = hmac.New(sha256.New, k.Secret)
		c.signing = k.ID
	}
	return c
}

// Append appends the encoded token of the claims for the flow to b.
// Without a key it appends nothing.
func (c *Codec) Append(b []byte, flow ident.FlowID, cl *Claims) []byte {
	mac, ok := c.macs[c.signing]
	if !ok {
		return b
	}
	start := len(b)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, c.signing)
	b = binary.BigEndian.AppendUint64(b, uint64(cl.Service))
	b = binary.BigEndian.AppendUint32(b, uint32(cl.DataCentre))
	b = binary.BigEndian.AppendUint64(b, uint64(cl.Upstream))
	b = binary.BigEndian.AppendUint64(b, uint64(cl.UpstreamIncarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(cl.Owner))
	b = binary.BigEndian.AppendUint64(b, uint64(cl.OwnerIncarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(cl.IssuedAt.UnixMilli()))
	return append(b, c.mac(mac, flow, b[start:])[:macSize]...)
}

// Verify checks the token against the flow and returns its claims. The error is an *Error.
func (c *Codec) Verify(flow ident.FlowID, tok []byte) (Claims, error) {
	if len(tok) != Size || tok[0] != version {
		return Claims{}, errMalformed
	}
	mac, ok := c.macs[binary.BigEndian.Uint32(tok[keyOffset:])]
	if !ok {
		return Claims{}, errUnknownKey
	}
	if subtle.ConstantTimeCompare(c.mac(mac, flow, tok[:bodySize])[:macSize], tok[bodySize:]) != 1 {
		return Claims{}, errForged
	}
	return decode(tok), nil
}

func (c *Codec) mac(mac hash.Hash, flow ident.FlowID, body []byte) []byte {
	mac.Reset()
	binary.BigEndian.PutUint64(c.flow[:], uint64(flow))
	mac.Write(c.flow[:])
	mac.Write(body)
	return mac.Sum(c.sum[:0])
}

func decode(tok []byte) Claims {
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
