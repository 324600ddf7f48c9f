package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against broken feeds, requests that run twice and wrong answers while daemons restart, an
// upstream drains and the fabric loses, duplicates and reorders datagrams.
func TestDemoViolatesNoInvariant(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	report, err := Run(context.Background(), Options{
		Duration: 6 * time.Second, Seed: 1, Feeds: 30, Pullers: 4, Log: log, Progress: func(string) {},
	})
	assert.NilError(t, err)
	assert.Assert(t, report.OK(), "%+v", report)
}
