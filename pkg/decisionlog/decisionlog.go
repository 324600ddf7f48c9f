// Package decisionlog keeps logs bounded: a writer that never blocks and a limiter for lines that
// requests cause.
package decisionlog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// queueLines bounds the lines that wait for a slow output; at 400 bytes each they take 400 KB.
const queueLines = 1024

// Writer passes lines on to an output in the background and drops them when the output is slow.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer without an output; Run connects it.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, queueLines)} }

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines to out until ctx ends, and then what still waits.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1) // there is no other place to report to; the counter shows it
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

// Limiter bounds the lines of one kind per second. A flood of requests cannot make the log cost
// more than the requests. It is safe for concurrent use.
type Limiter struct {
	perSecond  int
	mu         sync.Mutex
	second     int64
	used       int
	suppressed int
}

// NewLimiter returns a limiter of so many lines a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many were suppressed since the last one.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.used = s, 0
	}
	if l.used >= l.perSecond {
		l.suppressed++
		return false, 0
	}
	l.used++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
