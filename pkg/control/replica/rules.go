package replica

import (
	"sync"
	"time"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/state"
)

// Merged returns the configuration of accepted files.
func Merged(files []*folder.File) (*config.Config, error) {
	out := make([]config.File, len(files))
	for i, f := range files {
		out[i] = config.File{Name: f.Name, Data: f.Data}
	}
	f, err := config.FromFiles(out)
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// verdict is the check of one folder.
type verdict struct {
	digest    folder.Sum
	err       error
	keepAlive time.Duration
}

// Rules returns the rules of the replicated state. Each change is checked before it is proposed
// and when it is applied, so the last verdict is kept.
func Rules() state.Rules {
	var mu sync.Mutex
	var last verdict
	judge := func(files []*folder.File) verdict {
		mu.Lock()
		defer mu.Unlock()
		digest := folder.New(files, nil, 0).Digest(nil)
		if digest != last.digest {
			last = judgeFolder(digest, files)
		}
		return last
	}
	return state.Rules{
		Validate:         func(files []*folder.File) error { return judge(files).err },
		LongestKeepAlive: func(files []*folder.File) time.Duration { return judge(files).keepAlive },
	}
}

// judgeFolder checks a folder. A caller sends its keep-alive at least once in its flow's idle time.
func judgeFolder(digest folder.Sum, files []*folder.File) verdict {
	v := verdict{digest: digest}
	if len(files) == 0 {
		return v
	}
	cfg, err := Merged(files)
	if err != nil {
		v.err = err
		return v
	}
	for _, s := range cfg.Services() {
		v.keepAlive = max(v.keepAlive, s.Settings.FlowIdle.Truncate(time.Millisecond))
	}
	return v
}
