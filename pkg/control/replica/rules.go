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
	// decodeCacheBytes is enough for the largest push (state.MaxPushBytes) and for files that are changed
	// often.
	decodeCacheBytes = 4 << 20
	// minPrepareBytes is the smallest size of an entry whose files are decoded while the entry is being
	// replicated. A smaller entry is decoded within a few milliseconds.
	minPrepareBytes = 16 << 10
)

// ConfigFiles converts accepted files to files of the configuration folder.
func ConfigFiles(files []*folder.File) []config.File {
	out := make([]config.File, len(files))
	for i, f := range files {
		out[i] = config.File{Name: f.Name, Data: f.Data}
	}
	return out
}

// validator validates folders. It keeps the last valid folder and validates only the difference from it,
// because every change is validated twice: when it is proposed and when it is applied.
type validator struct {
	cache *config.DecodeCache

	mu          sync.Mutex
	mergedFiles []*folder.File // the files in merged
	merged      *config.IncrementalMerger
}

func newValidator() *validator {
	cache := config.NewDecodeCache(decodeCacheBytes)
	return &validator{cache: cache, merged: config.NewIncrementalMerger(cache)}
}

// Rules returns the rules of the replicated state.
func Rules() state.Rules { return newValidator().rules() }

func (v *validator) rules() state.Rules {
	return state.Rules{Validate: v.validate, LongestKeepAlive: v.longestKeepAlive}
}

// validate returns an error if the folder is not valid. An empty folder, the state before the first
// change, is valid.
func (v *validator) validate(files []*folder.File) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(files) == 0 {
		v.mergedFiles = nil
		v.merged.Clear()
		return nil
	}
	put, removed := folder.Compare(v.mergedFiles, files)
	if len(put)+len(removed) > 0 {
		if _, err := v.merged.Apply(ConfigFiles(put), removed); err != nil {
			return err
		}
	}
	v.mergedFiles = files
	return nil
}

// longestKeepAlive returns the longest flow_idle of a valid folder: a caller sends a keep-alive at least
// once within the idle time of its flow.
func (v *validator) longestKeepAlive(files []*folder.File) time.Duration {
	if v.validate(files) != nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.merged.LongestFlowIdle().Truncate(time.Millisecond)
}

// preload merges an accepted folder in the background. Validations wait until it has finished.
func (v *validator) preload(files []*folder.File) {
	go func() { _ = v.validate(files) }() // an accepted folder is valid
}

// prepare decodes the files of a push in advance, so that its validation does not have to.
func (v *validator) prepare(p *controlpb.Push) {
	var files []config.File
	for _, f := range p.GetFiles() {
		if !f.GetRemove() {
			files = append(files, config.File{Name: f.GetName(), Data: f.GetData()})
		}
	}
	v.cache.Prepare(files)
}

// prepareEntries decodes the files of large entries in the background before they are applied.
func (v *validator) prepareEntries(entries []agreement.Entry) {
	for _, entry := range entries {
		if len(entry.Data) < minPrepareBytes {
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
