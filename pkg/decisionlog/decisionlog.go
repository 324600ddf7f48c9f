// Package decisionlog limits the cost of logs: its Writer never blocks, and its Limiter bounds the rate
// of lines that are caused by requests.
package decisionlog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// maxQueuedLines bounds the queue of lines for a slow output; at 400 bytes a line it takes 400 KB.
const maxQueuedLines = 1024

// Writer queues lines and writes them to an output in the background. It drops lines when the queue is
// full because the output is slow.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer without an output; Run writes its lines to one.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, maxQueuedLines)} }

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines to out until ctx ends, and then the lines that are still queued.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1) // the error cannot be logged; the counter shows it
			}
		case <-ctx.Done():
			w.flush(out)
			return nil
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w *Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	return log
}

// Limiter bounds the lines of one kind per second, so that in a flood of requests the log does not
// cost more than the requests. It is safe for concurrent use.
type Limiter struct {
	perSecond       int
	mu              sync.Mutex
	currentSecond   int64
	allowedLines    int
	suppressedLines int
}

// NewLimiter returns a limiter that allows perSecond lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many lines were suppressed since the last
// allowed one.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.currentSecond {
		l.currentSecond, l.allowedLines = second, 0
	}
	if l.allowedLines >= l.perSecond {
		l.suppressedLines++
		return false, 0
	}
	l.allowedLines++
	suppressed, l.suppressedLines = l.suppressedLines, 0
	return true, suppressed
}
