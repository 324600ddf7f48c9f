package config

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a missing or wrong line in the list of changes, from which an operator reads the
// effect of a change before pushing it.
func TestDiffListsEachChange(t *testing.T) {
	a, err := mergeWithBase(t, archiveFile)
	assert.NilError(t, err)
	b, err := mergeWithBase(t, `users:
  acme:
    services:
      label:
        port: 7005
        credential: changed-credential
        flow_idle: 1h
        classes: {proof: {remove: true}, extra: {priority: 4}}
`)
	assert.NilError(t, err)
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, strings.Replace(c.String(), "users.acme.services.", "", 1))
	}
	assert.DeepEqual(t, lines, []string{
		"- archive (ends open flows)",
		"~ label.port: 7001 -> 7005 (ends open flows)",
		"~ label.credential: ****** -> ******",
		"~ label.flow_idle: 30s -> 1h",
		"- label.classes.proof",
		"+ label.classes.extra.priority: 4",
		"+ label.classes.extra.share: 0",
		"+ label.classes.extra.queue_limit: 64",
		"+ label.classes.extra.deadline: 30s",
	})
	assert.Equal(t, len(Diff(a, a)), 0)
}

// Guards against secrets in the output, which is copied into tickets and terminals.
func TestOutputMasksSecrets(t *testing.T) {
	c, err := mergeWithBase(t, "token_keys: [{id: 1, secret: 000102030405060708090a0b0c0d0e0f}]")
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, c.WriteText(&out))
	assert.NilError(t, c.WriteYAML(&out))
	assert.NilError(t, c.WriteJSON(&out))
	assert.Assert(t, !strings.Contains(out.String(), "label-credential"))
	assert.Assert(t, !strings.Contains(out.String(), "000102"))
	assert.Equal(t, strings.Count(out.String(), "******"), 6)
}

// Guards against YAML output that differs from the configuration once the mask is replaced by
// secrets, and against masked output that is accepted as it is: it could replace the original.
func TestYAMLOutputCanBeRead(t *testing.T) {
	c, err := mergeWithBase(t, archiveFile)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, c.WriteYAML(&out))
	_, err = mergeText(out.String())
	assert.ErrorContains(t, err, "length 6 is out of range")
	again, err := mergeText(strings.ReplaceAll(out.String(), "'******'", "label-credential"))
	assert.NilError(t, err)
	for _, change := range Diff(c, again) {
		assert.Assert(t, strings.HasSuffix(change.Path, ".credential"), change.String())
	}
}

func mergeText(text string) (*Config, error) {
	f, err := FromFiles([]File{{"1-all.yaml", []byte(text)}})
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// Guards against a panic on an invalid file: every daemon reads a pushed file.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(baseFile), []byte(archiveFile))
	f.Add([]byte(baseFile), []byte("users: {acme: {remove: true}}"))
	f.Add([]byte("token_keys: [{id: 1, secret: 000102030405060708090a0b0c0d0e0f}]"), []byte("token_keys: []"))
	f.Add([]byte("users: {a: {services: {b: null}}}"), []byte("users: {a: {services: {b: {classes: {c: {}}}}}}"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		folder, err := FromFiles([]File{{"1-a.yaml", one}, {"2-b.yaml", two}})
		if err != nil {
			return
		}
		c, err := folder.Merge()
		if err != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, c.WriteYAML(&out))
		assert.Equal(t, len(Diff(c, c)), 0)
	})
}
