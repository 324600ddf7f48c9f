package replica

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/state"
)

const (
	// decodedBytes holds the largest push (state.MaxPushBytes) and the files that changes name often.
	decodedBytes = 4 << 20
	// prepareBytes is the size of an entry from which on its files are decoded while the entry is
	// on its way to the majority; a smaller one decodes within a few milliseconds.
	prepareBytes = 16 << 10
)

// Files returns accepted files in the form of the configuration folder.
func Files(files []*folder.File) []config.File {
	out := make([]config.File, len(files))
	for i, f := range files {
		out[i] = config.File{Name: f.Name, Data: f.Data}
	}
	return out
}

// validator checks folders. It remembers the last valid one, and a check costs as much as the difference
// from that: a change is checked when it is proposed and again when it is applied.
type validator struct {
	cache *config.Cache

	mu     sync.Mutex
	files  []*folder.File // those of merged
	merged *config.Incremental
}

func newValidator() *validator {
	cache := config.NewCache(decodedBytes)
	return &validator{cache: cache, merged: config.NewIncremental(cache)}
}

// Rules returns the rules of the replicated state.
func Rules() state.Rules { return newValidator().rules() }

func (v *validator) rules() state.Rules {
	return state.Rules{Validate: v.validate, LongestKeepAlive: v.longestKeepAlive}
}

// validate returns the faults of a folder. No files are valid: that is the state before the first
// change.
func (v *validator) validate(files []*folder.File) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(files) == 0 {
		v.files = nil
		v.merged.Clear()
		return nil
	}
	put, removed := folder.Compare(v.files, files)
	if len(put)+len(removed) > 0 {
		if _, err := v.merged.Apply(Files(put), removed); err != nil {
			return err
		}
	}
	v.files = files
	return nil
}

// longestKeepAlive returns the longest flow_idle of a valid folder: a caller sends its keep-alive at
// least once in its flow's idle time.
func (v *validator) longestKeepAlive(files []*folder.File) time.Duration {
	if v.validate(files) != nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.merged.LongestFlowIdle().Truncate(time.Millisecond)
}

// preload merges an accepted folder while the replica goes on; a check waits for it.
func (v *validator) preload(files []*folder.File) {
	go func() { _ = v.validate(files) }() // an accepted folder is valid
}

// prepare decodes the files of a push, so that its check does not have to.
func (v *validator) prepare(p *controlpb.Push) {
	var files []config.File
	for _, f := range p.GetFiles() {
		if !f.GetRemove() {
			files = append(files, config.File{Name: f.GetName(), Data: f.GetData()})
		}
	}
	v.cache.Prepare(files)
}

// prepareEntries decodes the files of large entries that this replica has not applied yet.
func (v *validator) prepareEntries(entries []agreement.Entry) {
	for _, entry := range entries {
		if len(entry.Data) < prepareBytes {
			continue
		}
		go func() {
			var e controlpb.Entry
			if proto.Unmarshal(entry.Data, &e) == nil {
				v.prepare(e.GetPush())
			}
		}()
	}
}
