// Package frame encodes and decodes caller datagrams and enforces their limits.
package frame

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/ident"
)

const (
	// MaxSize is the largest caller datagram, in bytes. It fits an Ethernet frame together with the
	// header that is added when daemons relay it.
	MaxSize = 1400
	// MaxPartSize is the payload of one part of a request or an answer, in bytes.
	MaxPartSize = 1200
	// MaxParts is the largest number of parts of one request or answer.
	MaxParts = 4096
	// MaxPayload is the largest request or answer, in bytes.
	MaxPayload = MaxPartSize * MaxParts
	// MinOpenSize is the smallest accepted Open or KeepAlive, in bytes. It is at least as large as
	// the reply, so that a spoofed caller address allows no amplification.
	MinOpenSize = 128
	// MaxTopicSize is the longest topic of a feed, in bytes.
	MaxTopicSize = 128

	fieldToken  = protowire.Number(1)
	fieldFlowID = protowire.Number(2)
)

// ErrorKind is the reason why a frame was refused.
type ErrorKind uint8

// Reasons to refuse a frame.
const (
	Oversize ErrorKind = iota + 1
	Malformed
	Undersize
	BadPart
)

// Error is a frame that was refused before it reached an owner.
type Error struct {
	Kind ErrorKind
	Size int // bytes
}

// Error returns the reason and the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case Oversize:
		return fmt.Sprintf("frame has %d bytes: split it so that no frame exceeds %d bytes", e.Size, MaxSize)
	case Undersize:
		return fmt.Sprintf("frame has %d bytes: pad opens and keep-alives to at least %d bytes", e.Size, MinOpenSize)
	case BadPart:
		return fmt.Sprintf("part number is outside its bounds: number parts from 0, at most %d of them", MaxParts)
	default:
		return "frame is not a valid protobuf message of type rosemarygate.wire.v1.Frame: update the client library"
	}
}

var errMalformed = &Error{Kind: Malformed}

// Header holds the fields that a relaying daemon needs. Token aliases the datagram.
type Header struct {
	Token  []byte
	FlowID ident.FlowID
}

// ReadHeader reads the token and the flow id of a datagram without decoding the other fields and
// without allocating. The error is an *Error.
func ReadHeader(b []byte) (Header, error) {
	if len(b) > MaxSize {
		return Header{}, &Error{Kind: Oversize, Size: len(b)}
	}
	var h Header
	seenFlowID := false
	for len(b) > 0 && !(seenFlowID && h.Token != nil) {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return Header{}, errMalformed
		}
		b = b[n:]
		switch {
		case num == fieldToken && typ == protowire.BytesType:
			h.Token, n = protowire.ConsumeBytes(b)
		case num == fieldFlowID && typ == protowire.Fixed64Type:
			var v uint64
			v, n = protowire.ConsumeFixed64(b)
			h.FlowID, seenFlowID = ident.FlowID(v), true
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return Header{}, errMalformed
		}
		b = b[n:]
	}
	if !seenFlowID {
		return Header{}, errMalformed
	}
	return h, nil
}

// Decode decodes a whole datagram and checks its limits. The error is an *Error.
func Decode(b []byte) (*wirepb.Frame, error) {
	if len(b) > MaxSize {
		return nil, &Error{Kind: Oversize, Size: len(b)}
	}
	f := new(wirepb.Frame)
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, errMalformed
	}
	if err := checkLimits(f, len(b)); err != nil {
		return nil, err
	}
	return f, nil
}

func checkLimits(f *wirepb.Frame, size int) error {
	switch body := f.Body.(type) {
	case nil:
		return errMalformed
	case *wirepb.Frame_Open, *wirepb.Frame_KeepAlive:
		if size < MinOpenSize {
			return &Error{Kind: Undersize, Size: size}
		}
	case *wirepb.Frame_Subscribe:
		if len(body.Subscribe.Topic) > MaxTopicSize {
			return errMalformed
		}
	case *wirepb.Frame_Request:
		return checkPart(body.Request.Part, body.Request.Parts)
	case *wirepb.Frame_Answer:
		return checkPart(body.Answer.Part, body.Answer.Parts)
	}
	return nil
}

func checkPart(part, parts uint32) error {
	if parts == 0 || parts > MaxParts || part >= parts {
		return &Error{Kind: BadPart}
	}
	return nil
}

// Encode appends the encoded frame to b. Opens and keep-alives are padded to MinOpenSize.
func Encode(b []byte, f *wirepb.Frame) ([]byte, error) {
	pad(f)
	start := len(b)
	out, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return b, err
	}
	if len(out)-start > MaxSize {
		return b, &Error{Kind: Oversize, Size: len(out) - start}
	}
	return out, nil
}

func pad(f *wirepb.Frame) {
	size := proto.Size(f)
	if size >= MinOpenSize {
		return
	}
	switch body := f.Body.(type) {
	case *wirepb.Frame_Open:
		body.Open.Padding = make([]byte, MinOpenSize-size)
	case *wirepb.Frame_KeepAlive:
		body.KeepAlive.Padding = make([]byte, MinOpenSize-size)
	}
}

// PartCount returns the number of parts of a payload of the given size in bytes; at least 1.
func PartCount(size int) int {
	return max(1, (size+MaxPartSize-1)/MaxPartSize)
}

// Part returns part i of the payload; it aliases the payload.
func Part(payload []byte, i int) []byte {
	start := min(i*MaxPartSize, len(payload))
	return payload[start:min(start+MaxPartSize, len(payload))]
}

// Assembly collects the parts of one payload in any order; duplicates are ignored.
type Assembly struct {
	parts   [][]byte
	missing int
	size    int // bytes in the parts that are present
}

// NewAssembly returns an empty assembly of the given number of parts.
func NewAssembly(parts int) *Assembly {
	return &Assembly{parts: make([][]byte, parts), missing: parts}
}

// Add stores part i of the payload and reports whether it was new. A part with a different number of
// parts, or larger than MaxPartSize, is ignored.
func (a *Assembly) Add(i, parts int, payload []byte) bool {
	if parts != len(a.parts) || i >= parts || len(payload) > MaxPartSize || a.parts[i] != nil {
		return false
	}
	a.parts[i] = append([]byte{}, payload...)
	a.missing--
	a.size += len(payload)
	return true
}

// Complete reports whether every part is present.
func (a *Assembly) Complete() bool { return a.missing == 0 }

// PartsPresent returns the number of parts that are present.
func (a *Assembly) PartsPresent() int { return len(a.parts) - a.missing }

// partOverhead is the size of a slice header in bytes.
const partOverhead = 24

// Size returns the memory that the assembly uses, in bytes.
func (a *Assembly) Size() int { return a.size + partOverhead*len(a.parts) }

// Payload joins the parts of a complete assembly.
func (a *Assembly) Payload() []byte {
	out := make([]byte, 0, a.size)
	for _, p := range a.parts {
		out = append(out, p...)
	}
	return out
}

// PartsHeld returns a bitmap of the parts that are present.
func (a *Assembly) PartsHeld() []byte {
	held := make([]byte, (len(a.parts)+7)/8)
	for i, p := range a.parts {
		if p != nil {
			held[i/8] |= 1 << (i % 8)
		}
	}
	return held
}

// AllPartsHeld returns the bitmap of a payload whose parts are all present.
func AllPartsHeld(parts int) []byte {
	held := make([]byte, (parts+7)/8)
	for i := range parts {
		held[i/8] |= 1 << (i % 8)
	}
	return held
}

// HasPart reports whether the bitmap of PartsHeld contains part i.
func HasPart(held []byte, i int) bool {
	return i/8 < len(held) && held[i/8]&(1<<(i%8)) != 0
}
