package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards the whole path: feeds, requests that must not run twice and large answers through
// daemons that restart, an upstream that drains and a fabric with faults.
func TestDemoKeepsItsPromises(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	report, err := Run(context.Background(), Options{
		Duration: 6 * time.Second, Seed: 1, Feeds: 30, Pullers: 4, Log: log, Progress: func(string) {},
	})
	assert.NilError(t, err)
	assert.Assert(t, report.OK(), "%+v", report)
}
