package capacity

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/config"
	controlreplica "rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/control/state"
)

const cacheBytes = 1 << 20 // size of the cache of decoded files, as at a daemon

// manyFiles returns n files: one for each service, then files that each change one value of a service.
func manyFiles(n int) []config.File {
	out := make([]config.File, n)
	for i := range out {
		data := fileData(i, 0)
		if i >= TargetServices {
			data = fmt.Appendf(nil, "users: {acme: {services: {s%d: {slots: %d}}}}\n", i%TargetServices, 1+i/TargetServices)
		}
		out[i] = config.File{Name: fileName(i), Data: data}
	}
	return out
}

func newIncremental(t testing.TB, files []config.File) *config.IncrementalMerger {
	incremental := config.NewIncrementalMerger(config.NewDecodeCache(cacheBytes))
	_, err := incremental.Apply(files, nil)
	assert.NilError(t, err)
	return incremental
}

// newValidatingReplica returns a replica with the rules of the control replica.
func newValidatingReplica(t testing.TB, files int) *replica {
	r := newReplica(t, files)
	data, err := r.machine.Snapshot()
	assert.NilError(t, err)
	r.machine, err = state.Restore(controlreplica.Rules(), data)
	assert.NilError(t, err)
	r.changeFile() // merges the folder
	return r
}

// TestIncremental measures an incremental change of one file and the state that it needs.
func TestIncremental(t *testing.T) {
	skipUnlessMeasuring(t)
	changedFiles := func(i int) []config.File {
		return []config.File{{Name: fileName(0), Data: fileData(0, i+1)}}
	}
	all := []series{
		{name: "one change of a file, merged and checked, ns", cost: func(n int) float64 {
			incremental := newIncremental(t, manyFiles(n))
			return ProcessorTime(500, func(i int) { _, _ = incremental.Apply(changedFiles(i), nil) })
		}},
		{name: "one change that is refused, ns", cost: func(n int) float64 {
			incremental := newIncremental(t, manyFiles(n))
			conflicting := config.File{Name: fileName(99_998), Data: []byte("users: {acme: {services: {other: {port: 1001, credential: some-credential, classes: {x: {priority: 0}}}}}}")}
			return ProcessorTime(100, func(int) {
				_, err := incremental.Apply([]config.File{conflicting}, nil)
				assert.ErrorContains(t, err, "port 1001 is already that of")
			})
		}},
		{name: "replica: one change with its check, ns", cost: func(n int) float64 {
			r := newValidatingReplica(t, n)
			return ProcessorTime(200, func(int) { r.changeFile() })
		}},
		{name: "first merge, ns", cost: func(n int) float64 {
			files := manyFiles(n)
			return ProcessorTime(1, func(int) { newIncremental(t, files) })
		}},
		{name: "merged state without the content of the files, live bytes", cost: func(n int) float64 {
			files := manyFiles(n)
			return LiveBytes(func() any { return newIncremental(t, files) })
		}},
		{name: "decoded files, live bytes", cost: func(n int) float64 {
			files, cache := manyFiles(n), config.NewDecodeCache(1<<30)
			return LiveBytes(func() any { cache.Prepare(files); return cache })
		}},
	}
	for _, s := range all {
		s.sizes, s.target = fileSizes, TargetServices
		s.run(t)
	}
	s := series{
		name: "files that change 24,000 services: merged state, live bytes", sizes: []int{24_000, 50_000, 100_000}, target: config.MaxFiles,
		cost: func(n int) float64 {
			files := manyFiles(n)
			return LiveBytes(func() any { return newIncremental(t, files) })
		},
	}
	s.run(t)
	s.name, s.cost = "files that change 24,000 services: one change, ns", func(n int) float64 {
		incremental := newIncremental(t, manyFiles(n))
		return ProcessorTime(500, func(i int) { _, _ = incremental.Apply(changedFiles(i), nil) })
	}
	s.run(t)
}
