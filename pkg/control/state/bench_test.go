package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

const benchFileSize = 500 // bytes; about the size of one service with three classes in YAML

func benchMachine(b *testing.B, files, changes int) *Machine {
	m := New(testRules())
	var all []*controlpb.FileChange
	for i := range files {
		all = append(all, put(fmt.Sprintf("%05d-service.yaml", i), strings.Repeat("x", benchFileSize)))
	}
	for part := range slices.Chunk(all, 4000) {
		assert.NilError(b, ReplyError(apply(b, m, pushEntry(part[0].GetName(), m.View().Version, part...))))
	}
	for i := range changes {
		assert.NilError(b, ReplyError(apply(b, m, benchChange(m, i))))
	}
	return m
}

func benchChange(m *Machine, i int) *controlpb.Entry {
	data := fmt.Sprint(i, strings.Repeat("y", benchFileSize))
	return pushEntry(fmt.Sprint("change-", i), m.View().Version, put("00000-service.yaml", data))
}

// Measures a change of one file in a folder of 1,000 files and of 24,000 files, the design target
// for services, without validation, and a change of all 1,000 files with testRules.
func BenchmarkApply(b *testing.B) {
	for _, files := range []int{1000, 24_000} {
		b.Run(fmt.Sprintf("one of %d files", files), func(b *testing.B) {
			m := benchMachine(b, files, 0)
			m.rules.Validate = func([]*folder.File) error { return nil }
			i := 0
			for b.Loop() {
				apply(b, m, benchChange(m, i))
				i++
			}
		})
	}
	b.Run("1000 files", func(b *testing.B) {
		m := benchMachine(b, 1000, 0)
		i := 0
		for b.Loop() {
			var all []*controlpb.FileChange
			for n := range 1000 {
				all = append(all, put(fmt.Sprintf("%05d-service.yaml", n), fmt.Sprint(i, strings.Repeat("x", benchFileSize))))
			}
			apply(b, m, pushEntry(fmt.Sprint("change-", i), m.View().Version, all...))
			i++
		}
	})
}

// Measures the snapshot, the restore and the replay at a restart, without reading the log from disk.
// The target is 1 s with 10,000 changes.
func BenchmarkRestart(b *testing.B) {
	m := benchMachine(b, 1000, 10_000)
	data := snapshot(b, m)
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			snapshot(b, m)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			_, err := Restore(testRules(), data)
			assert.NilError(b, err)
		}
	})
	b.Run("replay of 10000 entries", func(b *testing.B) {
		var entries [][]byte
		for i := range 10_000 {
			change := benchChange(m, i)
			change.GetPush().BaseVersion = uint64(i + 1)
			e, err := proto.Marshal(change)
			assert.NilError(b, err)
			entries = append(entries, e)
		}
		for b.Loop() {
			restored := benchMachine(b, 1000, 0)
			for i, e := range entries {
				reply, err := restored.Apply(uint64(i+2), e)
				assert.NilError(b, err)
				assert.NilError(b, ReplyError(reply))
			}
		}
	})
}
