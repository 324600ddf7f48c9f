package decisionlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// blocked is an output that does not take anything until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a daemon that stops serving because nobody reads its log, and against a log that
// takes memory without bound meanwhile.
func TestSlowOutputDoesNotBlock(t *testing.T) {
	w := NewWriter()
	out := &blocked{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx, out) }()
	log := NewLogger(w, logrus.InfoLevel)
	begin := time.Now()
	const lines = 10 * queueLines
	for i := range lines {
		log.WithField("i", i).Info("line")
	}
	assert.Assert(t, time.Since(begin) < 5*time.Second)
	assert.Assert(t, w.Dropped() >= lines-queueLines-1)
	close(out.release)
	cancel()
	assert.NilError(t, <-ended)
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, uint64(written)+w.Dropped(), uint64(lines), "every line is written or counted")
}

// Guards against a flood of requests that floods the log.
func TestLimiter(t *testing.T) {
	l := NewLimiter(10)
	now := time.Unix(100, 0)
	written := 0
	for range 1000 {
		if ok, _ := l.Allow(now); ok {
			written++
		}
	}
	assert.Equal(t, written, 10)
	ok, suppressed := l.Allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, 990)
}
