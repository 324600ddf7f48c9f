package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

func serviceFiles(from, to, slots int) []*controlpb.File {
	var out []*controlpb.File
	for i := from; i < to; i++ {
		data := fmt.Appendf(nil, "users: {acme: {services: {s%d: {port: %d, credential: some-credential, slots: %d, classes: {a: {priority: 0}, b: {priority: 1}}}}}}", i, 1000+i, slots)
		out = append(out, &controlpb.File{Name: fmt.Sprintf("%05d-s.yaml", i+1), Data: data})
	}
	return out
}

// Guards against a result that depends on the folders that were validated before: replicas validate
// different folders, and their results have to be equal.
func TestValidationDependsOnTheFolderAlone(t *testing.T) {
	empty := folder.New(nil, nil, 0)
	one := empty.WithChange(1, serviceFiles(0, 3, 1), nil)
	two := one.WithChange(2, serviceFiles(1, 2, 2), []string{"00001-s.yaml"})
	portConflict := serviceFiles(8, 9, 1)
	portConflict[0].Data = []byte("users: {acme: {services: {z: {port: 1002, credential: some-credential, classes: {a: {priority: 0}}}}}}")
	invalid := two.WithChange(3, portConflict, nil)
	folders := []*folder.Folder{empty, one, two, invalid}
	want := make([]string, len(folders))
	for i, f := range folders {
		want[i] = fmt.Sprint(newValidator().validate(f.Files()))
	}
	assert.Equal(t, want[3], "00009-s.yaml:1: users.acme.services.z.port: port 1002 is already that of acme/s2 (00003-s.yaml:1): choose a port that no service has, such as 1003")
	v := newValidator()
	for _, i := range []int{1, 3, 0, 3, 2, 1, 3, 3, 2, 0, 1} {
		assert.Equal(t, fmt.Sprint(v.validate(folders[i].Files())), want[i])
	}
}

// Measures the time that a push of 6,000 files to a folder of 18,000 files takes in the core's goroutine,
// with and without decoding the files in advance.
func BenchmarkLargePush(b *testing.B) {
	base := folder.New(nil, nil, 0).WithChange(1, serviceFiles(0, 18_000, 1), nil)
	putFiles := serviceFiles(18_000, 24_000, 1)
	next := base.WithChange(2, putFiles, nil)
	for _, prepared := range []bool{true, false} {
		b.Run(fmt.Sprintf("prepared=%v", prepared), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				v := newValidator()
				assert.NilError(b, v.validate(base.Files()))
				if prepared {
					v.prepare(&controlpb.Push{Files: changesOf(putFiles)})
				}
				b.StartTimer()
				assert.NilError(b, v.validate(next.Files()))
			}
		})
	}
}

func changesOf(files []*controlpb.File) []*controlpb.FileChange {
	var out []*controlpb.FileChange
	for _, f := range files {
		out = append(out, &controlpb.FileChange{Name: f.GetName(), Data: f.GetData()})
	}
	return out
}
