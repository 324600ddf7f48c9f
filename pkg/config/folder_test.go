package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const baseFile = `users:
  acme:
    time_zone: Australia/Perth
    services:
      label:
        port: 7001
        credential: label-credential
        slots: 3
        classes:
          sheet: {priority: 0, share: 0.5}
          proof: {priority: 1, share: 0.5}
`

const archiveFile = "users: {acme: {services: {archive: {port: 7002, credential: other-credential, classes: {pull: {priority: 0}}}}}}"

// mergeWithBase merges the base file with later files numbered 20, 30 and so on.
func mergeWithBase(t *testing.T, later ...string) (*Config, error) {
	t.Helper()
	files := []File{{"10-base.yaml", []byte(baseFile)}}
	for i, text := range later {
		files = append(files, File{fmt.Sprintf("%d-later.yaml", 20+10*i), []byte(text)})
	}
	f, err := FromFiles(files)
	assert.NilError(t, err)
	return f.Merge()
}

// Guards against a merge that loses a default or an override: every daemon would run with wrong
// values.
func TestMergeAppliesDefaultsAndOverrides(t *testing.T) {
	c, err := mergeWithBase(t, "users: {acme: {services: {label: {slots: 5, queue_limit: 7}}}}")
	assert.NilError(t, err)
	s := c.Users["acme"].Services["label"]
	assert.Equal(t, s.Slots, 5)
	assert.Equal(t, s.FlowLimit, 2000)
	assert.Equal(t, s.FlowIdle, 30*time.Second)
	assert.Equal(t, s.Classes["sheet"].QueueLimit, 7)
	assert.Equal(t, c.Origin("users.acme.services.label.slots").String(), "20-later.yaml:1")
	assert.Equal(t, c.Origin("users.acme.services.label.port").String(), "10-base.yaml:6")
	assert.Equal(t, c.Origin("users.acme.services.label.flow_idle").String(), "default")
}

// Guards against sorting file numbers as text, which would merge 100 before 20.
func TestFilesAreOrderedByNumber(t *testing.T) {
	f, err := FromFiles([]File{{Name: "100-c.yaml"}, {Name: "3-a.yaml"}, {Name: "9-z.yaml"}, {Name: "020-b.yaml"}})
	assert.NilError(t, err)
	var names []string
	for _, file := range f.Files() {
		names = append(names, file.Name)
	}
	assert.DeepEqual(t, names, []string{"3-a.yaml", "9-z.yaml", "020-b.yaml", "100-c.yaml"})
	assert.Equal(t, f.NextNumber(), 101)
}

// Guards against values of a removed entry that reappear when a later file declares the name
// again.
func TestRemovalDiscardsValues(t *testing.T) {
	c, err := mergeWithBase(t,
		"users: {acme: {services: {label: {remove: true}}}}",
		"users: {acme: {services: {label: {port: 7009, credential: new-credential, classes: {c: {priority: 2}}}}}}")
	assert.NilError(t, err)
	s := c.Users["acme"].Services["label"]
	assert.Equal(t, s.Slots, 1)
	assert.Equal(t, len(s.Classes), 1)
	assert.Equal(t, c.Origin("users.acme.services.label.slots").String(), "default")
	c, err = mergeWithBase(t, "users: {acme: {services: {label: {classes: {proof: {remove: true}}}}}}")
	assert.NilError(t, err)
	assert.Equal(t, len(c.Users["acme"].Services["label"].Classes), 1)
}

// Each later file conflicts with the base in one way that no merge order resolves.
func TestMergeReportsConflicts(t *testing.T) {
	const label = "users.acme.services.label"
	for _, c := range []struct{ later, want string }{
		{strings.Replace(archiveFile, "7002", "7001", 1),
			"10-base.yaml:6: " + label + ".port: port 7001 is already that of acme/archive (20-later.yaml:1): choose a port that no service has, such as 7002"},
		{"users: {acme: {services: {label: {classes: {sheet: {share: 0.6}}}}}}",
			"10-base.yaml:5: " + label + ".classes: shares add up to 1.1: sheet 0.6 (20-later.yaml:1), proof 0.5 (10-base.yaml:11): lower them to at most 1 together"},
		{"users: {acme: {services: {label: {default_class: shet}}}}",
			"20-later.yaml:1: " + label + `.default_class: class "shet" is not declared: name one of sheet, proof or delete the key`},
		{"users: {acme: {services: {labl: {remove: true}}}}",
			"20-later.yaml:1: users.acme.services.labl: service is removed, but no earlier file declares it: delete the key, or declare it in a file with a smaller number"},
		{"users: {acme: {services: {label: {remove: true, slots: 2}}}}",
			"20-later.yaml:1: " + label + ": service is removed and changed in one file: delete remove or the other keys"},
		{"users: {acme: {services: {label: {remove: false}}}}",
			"20-later.yaml:1: " + label + ".remove: value false has no effect: write remove: true or delete the key"},
		{"users: {acme: {services: {label: {classes: {new: {share: 0}}}}}}",
			"20-later.yaml:1: " + label + ".classes.new.priority: value is missing: add the key priority"},
		{"users: {acme: {time_zone: Local}}",
			`20-later.yaml:1: users.acme.time_zone: time zone "Local" is unknown: write an IANA name such as Australia/Perth`},
		{"token_keys: [{id: 1, secret: 000102030405060708090a0b0c0d0e0g}]",
			"20-later.yaml:1: token_keys[0].secret: secret is not hexadecimal: write an even number of the digits 0-9 and a-f"},
		{"users: {acme: {remove: true}}",
			"configuration declares no user: add a file with users and services"},
	} {
		_, err := mergeWithBase(t, c.later)
		assert.Error(t, err, c.want)
	}
}

// Guards against lists and mappings beyond their limits, which would grow the key rings of tokens
// and the queues.
func TestMergeReportsExceededLimits(t *testing.T) {
	const secret = "secret: 000102030405060708090a0b0c0d0e0f}"
	_, err := mergeWithBase(t, "token_keys: [{id: 1, "+secret+", {id: 2, "+secret+", {id: 2, "+secret+"]")
	assert.ErrorContains(t, err, "20-later.yaml:1: token_keys: list has 3 keys: give at most 2, the newest last")
	assert.ErrorContains(t, err, "token_keys[2].id: identifier 2 is already that of token_keys[1]: give each key a new identifier")
	var classes strings.Builder
	for i := range MaxClasses {
		fmt.Fprintf(&classes, "c%d: {priority: 1}, ", i)
	}
	_, err = mergeWithBase(t, "users: {acme: {services: {label: {classes: {"+classes.String()+"}}}}}")
	assert.ErrorContains(t, err, "service has 102 classes: declare at most 100")
}

// Guards against two services with one identifier, which a token could not distinguish. No two
// names with the same hash are known, so the test makes up the identifiers.
func TestServiceIdentifiersAreUnique(t *testing.T) {
	m := &merger{result: new(Config)}
	m.checkIDs([]ServiceEntry{{ID: 1, User: "a", Name: "b"}, {ID: 2, User: "a", Name: "c"}, {ID: 1, User: "d", Name: "e"}})
	assert.Error(t, m.errs.Err(), "users.d.services.e: service has the identifier 1 of a/b: give it another name")
}

// Guards against invalid names, numbers and sizes that are accepted. Two operators who use the
// same number need the next free number in the error.
func TestFolderRejectsInvalidNamesNumbersAndSizes(t *testing.T) {
	_, err := FromFiles([]File{
		{"10-a.yaml", []byte("users: {}")}, {"010-b.yaml", []byte("users: {}")}, {"12-c.yaml", nil},
		{"label.yaml", nil}, {"20-d.yml", nil}, {"../30-e.yaml", nil}, {"40-f.yaml", make([]byte, MaxFileBytes+1)},
	})
	text := err.Error()
	for _, want := range []string{
		"10-a.yaml: number 10 is already used by 010-b.yaml: rename this file to the next free number, 13",
		"label.yaml: file name is not valid", "20-d.yml: file name is not valid", "../30-e.yaml: file name is not valid",
		"40-f.yaml: file is larger than 1048576 bytes: split it into several files",
	} {
		assert.Assert(t, strings.Contains(text, want), "%s\nis not in\n%s", want, text)
	}
	_, err = FromFiles(make([]File, MaxFiles+1))
	assert.ErrorContains(t, err, "more than 100000 files")
}

// Guards against loading notes and editor files, and against skipping a name that ends like a
// configuration file.
func TestLoadReadsYAMLFilesOnly(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"10-base.yaml", "README.md", ".20-hidden.yaml", "30-old.yaml~"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(baseFile), 0o600))
	}
	f, err := Load(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(f.Files()), 1)
	assert.NilError(t, os.Mkdir(filepath.Join(dir, "40-folder.yaml"), 0o700))
	_, err = Load(dir)
	assert.Error(t, err, "40-folder.yaml: file cannot be read: it is not a regular file: make it a readable regular file or rename it")
	_, err = LoadConfig(filepath.Join(dir, "absent"))
	assert.ErrorContains(t, err, "name an existing folder")
}

// Guards against equal digests of different folders, such as ones that differ only in the
// boundary between name and content. Replicas compare folders by digest.
func TestDigestCoversNamesAndContents(t *testing.T) {
	seen := map[string]bool{}
	for _, files := range [][]File{
		{{"1-a.yaml", []byte("x")}}, {{"1-b.yaml", []byte("x")}}, {{"1-a.yaml", []byte("y")}},
		{{"1-a.yaml", nil}, {"2-b.yaml", []byte("x")}}, {{"1-a.yaml", []byte("x")}, {"2-b.yaml", nil}},
	} {
		f, err := FromFiles(files)
		assert.NilError(t, err)
		assert.Assert(t, !seen[f.Digest()])
		seen[f.Digest()] = true
	}
}

// Guards against a request of an undeclared class that runs without a class, or fails although a
// default class is declared.
func TestClassFor(t *testing.T) {
	c, err := mergeWithBase(t, archiveFile, "users: {acme: {services: {archive: {default_class: pull}}}}")
	assert.NilError(t, err)
	services := c.Users["acme"].Services
	name, _, ok := services["archive"].ClassFor("unheard-of")
	assert.Assert(t, ok && name == "pull")
	_, _, ok = services["label"].ClassFor("")
	assert.Assert(t, !ok)
}

// Measures a merge of 10,000 files. The control plane merges after each push, with up to 10,000
// accepted changes.
func BenchmarkMergeTenThousandFiles(b *testing.B) {
	files := []File{}
	for i := range 10_000 {
		text := fmt.Sprintf("users: {acme: {services: {s%d: {port: %d, credential: some-credential, classes: {a: {priority: 0}, b: {priority: 1}}}}}}", i, 1000+i)
		files = append(files, File{fmt.Sprintf("%d-s.yaml", i+1), []byte(text)})
	}
	f, err := FromFiles(files)
	assert.NilError(b, err)
	for b.Loop() {
		_, err := f.Merge()
		assert.NilError(b, err)
	}
}
