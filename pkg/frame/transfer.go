package frame

import "time"

const (
	// TransferWindow is the largest number of unacknowledged parts of one payload in flight; a burst
	// of hundreds of parts overruns socket buffers.
	TransferWindow = 32
	// TransferResendDelay is the time after which an unacknowledged part is resent.
	TransferResendDelay = 100 * time.Millisecond
	// TransferAckInterval is the number of new parts after which a receiver acknowledges the parts that
	// it has.
	TransferAckInterval = 8
)

// Transfer paces the sending of the parts of one payload. The receiver acknowledges the parts that it
// has from time to time.
type Transfer struct {
	held     []byte
	parts    int
	start    time.Time
	sentAtMs []uint32 // milliseconds since start, plus 1; 0 for a part that was not sent
}

// NewTransfer returns the transfer of a payload with the given number of parts.
func NewTransfer(now time.Time, parts int) *Transfer {
	return &Transfer{parts: parts, start: now, sentAtMs: make([]uint32, parts)}
}

// SetPartsHeld stores the receiver's latest bitmap of parts, as returned by Assembly.PartsHeld.
func (t *Transfer) SetPartsHeld(held []byte) { t.held = append(t.held[:0], held...) }

// DueParts returns the parts to send now and marks them as sent.
func (t *Transfer) DueParts(now time.Time) []int {
	elapsedMs := uint32(now.Sub(t.start).Milliseconds()) + 1
	var due []int
	inFlight := 0
	for i, sentAtMs := range t.sentAtMs {
		if HasPart(t.held, i) {
			continue
		}
		if sentAtMs != 0 && elapsedMs-sentAtMs < uint32(TransferResendDelay.Milliseconds()) {
			inFlight++
		} else if len(due) < TransferWindow {
			due = append(due, i)
		}
	}
	due = due[:max(0, min(len(due), TransferWindow-inFlight))]
	for _, i := range due {
		t.sentAtMs[i] = elapsedMs
	}
	return due
}
