package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are bound to the token of a crashed owner, and against
// requests that wait although the owner answers.
func TestSilenceHoldsRequestsBack(t *testing.T) {
	start := time.Unix(1000, 0)
	var s silence
	s.sent(start)
	assert.Assert(t, !s.silent(start.Add(silentAfter)), "one lost datagram holds nothing back")
	assert.Assert(t, s.silent(start.Add(silentAfter+time.Millisecond)))
	heard := s.wait()
	s.reply(false)
	<-heard
	assert.Assert(t, !s.silent(start.Add(time.Hour)))

	s.stale = true
	s.reply(false)
	assert.Assert(t, s.silent(start), "a reply without a token does not renew a stale one")
	s.reply(true)
	assert.Assert(t, !s.silent(start))
}
