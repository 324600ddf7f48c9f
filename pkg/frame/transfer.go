package frame

import "time"

const (
	// TransferWindow bounds the parts of one payload that are sent and not yet known to have
	// arrived; a burst of hundreds of parts overruns socket buffers.
	TransferWindow = 32
	// TransferResend is the time after which a part that has not arrived is sent again.
	TransferResend = 100 * time.Millisecond
	// TransferAckEvery is the number of new parts after which a receiver says what it holds.
	TransferAckEvery = 8
)

// Transfer paces the parts of one payload at its sender. The receiver says from time to
// time which parts it holds.
type Transfer struct {
	held  []byte
	parts int
	began time.Time
	sent  []uint32 // milliseconds since began, plus 1; 0 for a part that was not sent
}

// NewTransfer returns the transfer of a payload with the given number of parts.
func NewTransfer(now time.Time, parts int) *Transfer {
	return &Transfer{parts: parts, began: now, sent: make([]uint32, parts)}
}

// SetHeld takes the receiver's latest bitmap of parts, as Assembly.Held makes it.
func (t *Transfer) SetHeld(held []byte) { t.held = append(t.held[:0], held...) }

// Due returns the parts to send now and counts them as sent.
func (t *Transfer) Due(now time.Time) []int {
	at := uint32(now.Sub(t.began).Milliseconds()) + 1
	var due []int
	flying := 0
	for i, sent := range t.sent {
		if Holds(t.held, i) {
			continue
		}
		if sent != 0 && at-sent < uint32(TransferResend.Milliseconds()) {
			flying++
		} else if len(due) < TransferWindow {
			due = append(due, i)
		}
	}
	due = due[:max(0, min(len(due), TransferWindow-flying))]
	for _, i := range due {
		t.sent[i] = at
	}
	return due
}
