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

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a daemon that stops serving because its log output blocks, and against log lines that
// then take unbounded memory.
func TestSlowOutputDoesNotBlock(t *testing.T) {
	w := NewWriter()
	out := &blockedOutput{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error)
	go func() { runResult <- w.Run(ctx, out) }()
	log := NewLogger(w, logrus.InfoLevel)
	start := time.Now()
	const lines = 10 * maxQueuedLines
	for i := range lines {
		log.WithField("i", i).Info("line")
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, w.Dropped() >= lines-maxQueuedLines-1)
	close(out.release)
	cancel()
	assert.NilError(t, <-runResult)
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, uint64(written)+w.Dropped(), uint64(lines), "every line is written or counted")
}

// Guards against a flood of requests that floods the log, and against a wrong number of suppressed lines.
func TestLimiterBoundsLinesPerSecond(t *testing.T) {
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
