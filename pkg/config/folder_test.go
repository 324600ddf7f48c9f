package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

const base = `users:
  acme:
    time_zone: Australia/Perth
    services:
      label:
        port: 7001
        credential: label-credential
        slots: 3
        classes:
          sheet: {priority: 0, share: 0.5}
`

func folder(t *testing.T, files ...File) *Folder {
	t.Helper()
	f, err := FromFiles(files)
	assert.NilError(t, err)
	return f
}

// A merge that loses a default or an override would change what every daemon runs.
func TestMergeAppliesDefaultsAndOverrides(t *testing.T) {
	later := "users: {acme: {services: {label: {slots: 5, queue_limit: 7}}}}"
	c, err := folder(t, File{"2-base.yaml", []byte(base)}, File{"10-more.yaml", []byte(later)}).Merge()
	assert.NilError(t, err)
	s := c.Users["acme"].Services["label"]
	assert.Equal(t, s.Slots, 5)
	assert.Equal(t, s.FlowLimit, 2000)
	assert.Equal(t, s.Classes["sheet"].QueueLimit, 7)
	assert.Equal(t, c.Origin("users.acme.services.label.slots").String(), "10-more.yaml:1")
	assert.Equal(t, c.Origin("users.acme.services.label.port").String(), "2-base.yaml:6")
}
