package strictyaml

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count int           `yaml:"count" limit:"1..9" default:"3" unit:"items"`
	Wait  time.Duration `yaml:"wait" limit:"1s..1h" default:"5s"`
	Token string        `yaml:"token" limit:"8..16" secret:"true"`
}

type sample struct {
	Name  string            `yaml:"name" required:"true"`
	Share float64           `yaml:"share" limit:"0..1"`
	On    bool              `yaml:"on"`
	Small uint8             `yaml:"small"`
	Inner inner             `yaml:"inner"`
	List  []string          `yaml:"list"`
	Map   map[string]*inner `yaml:"map" keys:"thing"`
}

// Guards against invalid input that is accepted, or reported without its line or a remedy.
func TestDecodeReportsLineAndRemedy(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"", `f: file sets no value: add a key or delete the file`},
		{"# only a comment\n", `f: file sets no value: add a key or delete the file`},
		{"name: a\nnam: b\n", `f:2: key "nam" is unknown: the keys here are inner, list, map, name, on, share, small`},
		{"name: a\nname: b\n", `f:2: name: key was already given in line 1: delete one of the two`},
		{"name: 12\n", `f:1: name: "12" is not text: put the value in quotes`},
		{"name:\n", `f:1: name: value is empty: give a value or delete the key`},
		{"name: [a]\n", `f:1: name: value is not a single value: write it in one line behind the key`},
		{"name: \"\"\n", `f:1: name: length 0 is out of range: the limits are 1 to 4096 characters`},
		{"name: \"a\\nb\"\n", `f:1: name: text has a control character: write it as one line of plain text`},
		{"share: 50%\n", `f:1: share: "50%" is a percentage: write a part of 1, such as 0.25 for 25%`},
		{"share: .nan\n", `f:1: share: ".nan" is not a number: write a number such as 0.25, without a unit`},
		{"share: 1.01\n", `f:1: share: 1.01 is out of range: the limits are 0 to 1`},
		{"on: yes\n", `f:1: on: "yes" is not a truth value: write true or false`},
		{"small: 256\n", `f:1: small: 256 is out of range: the limits are 0 to 255`},
		{"small: -1\n", `f:1: small: -1 is out of range: the limits are 0 to 255`},
		{"small: 010\n", `f:1: small: "010" is not a whole number: write decimal digits only, without a unit`},
		{"inner:\n  count: 10\n", `f:2: inner.count: 10 is out of range: the limits are 1 to 9 items`},
		{"inner:\n  wait: 30\n", `f:2: inner.wait: duration "30" has no unit: write the unit, one of ms, s, m and h, such as 30s`},
		{"inner: {wait: 3 days}\n", `f:1: inner.wait: "3 days" is not a duration: write a number with one of the units ms, s, m and h, such as 30s`},
		{"inner: {wait: 2h}\n", `f:1: inner.wait: 2h0m0s is out of range: the limits are 1s to 1h`},
		{"inner: 3\n", `f:1: inner: value is not a mapping: write keys and values, indented below the key`},
		{"list: a\n", `f:1: list: value is not a list: write one element in each line, each after a dash`},
		{"map:\n  Bad Name: {}\n", `f:2: map: thing name "Bad Name" is not valid: use 1 to 63 lower-case letters, digits and dashes, with no dash at either end`},
		{"name: &a x\n", `f:1: name: anchors and aliases are not accepted: write the value out`},
		{"name: !!str x\n", `f:1: name: explicit type !!str is not accepted: delete it`},
		{"inner: {token: 12345678}\n", `f:1: inner.token: value is not text: put the value in quotes`}, // the message must not show a secret
		{"name: a\n---\nname: b\n", `f:2: file has a second document: put it into a file of its own`},
		{"name: a\n  b: c\n", `f:2: file is not valid YAML: mapping values are not allowed in this context: correct this line or the line before it`},
		{"- a\n", `f:1: value is not a mapping: write keys and values, indented below the key`},
		{"<<: {name: a}\n", `f:1: key is not a plain word: write the key out`},
	} {
		_, errs := Decode("f", []byte(c.in), new(sample))
		assert.Equal(t, errs.Error(), c.want, "input %q", c.in)
	}
}

// Guards against a report of only the first fault, which costs the operator a run for each.
func TestDecodeReportsAllFaults(t *testing.T) {
	in := "nam: x\nshare: 2\ninner: {count: 0, wait: 1}\nlist: [1, a, 2]\n"
	_, errs := Decode("f", []byte(in), new(sample))
	assert.Equal(t, len(errs), 6, errs.Error())
}

// Guards against a large file that is parsed, which takes much memory.
func TestDecodeRejectsLargeFile(t *testing.T) {
	_, errs := Decode("f", []byte(strings.Repeat("#", MaxFileBytes+1)), new(sample))
	assert.Equal(t, errs[0].Kind, Unreadable)
}

// Guards against messages of ten times the size of a file with many faults.
func TestFaultsAreBounded(t *testing.T) {
	_, errs := Decode("f", []byte(strings.Repeat("name: a\n", 100_000)), new(sample))
	assert.Equal(t, len(errs), MaxFaults+1)
	assert.ErrorContains(t, errs.Err(), "there are more than 1000 errors: correct those listed and check again")
}

// Guards against a default that replaces a value of the file or is not set.
func TestSetDefaultsRequireAndWalk(t *testing.T) {
	s := new(sample)
	origins, errs := Decode("f", []byte("inner:\n  count: 7\n  token: secret-token\n"), s)
	assert.NilError(t, errs.Err())
	SetDefaults(s, "", origins)
	assert.Equal(t, s.Inner.Count, 7)
	assert.Equal(t, s.Inner.Wait, 5*time.Second)
	Require(&errs, s, "", origins)
	assert.Equal(t, errs.Error(), "f:1: name: value is missing: add the key name")
	var got []string
	Walk(s, "", func(v Value) {
		if v.Leaf {
			got = append(got, v.Path+"="+v.Text()+"@"+origins[v.Path].String())
		}
	})
	want := []string{"share=0@default", "small=0@default", "inner.count=7@f:2", "inner.wait=5s@default", "inner.token=******@f:3"}
	assert.DeepEqual(t, got, want)
}

// Guards against a panic on invalid input, which would stop the daemon that reads the file.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"name: a", "inner: {count: 1}", "list: [a, b]", "map: {x: {wait: 1s}}", "a: &b [*b]", "? [a]: b", "\xff\xfe", "!!binary a: b"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := new(sample)
		origins, errs := Decode("f", data, s)
		SetDefaults(s, "", origins)
		Require(&errs, s, "", origins)
		Walk(s, "", func(v Value) { _ = v.Text() })
		for _, e := range errs {
			if e.Remedy == "" {
				t.Fatalf("fault without remedy: %v", e)
			}
		}
	})
}
