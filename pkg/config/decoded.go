package config

import (
	"container/list"
	"crypto/sha256"
	"runtime"
	"sync"
	"sync/atomic"

	"rosemarygate/pkg/strictyaml"
)

// decoded is one decoded file. It is immutable.
type decoded struct {
	config  *Config
	origins strictyaml.Origins
	errs    strictyaml.Errors
}

func decode(f File) *decoded {
	d := &decoded{config: new(Config)}
	d.origins, d.errs = strictyaml.Decode(f.Name, f.Data, d.config)
	return d
}

// decodeAll decodes the files on all cores; decoding takes half of the time of a merge.
func decodeAll(files []File) []*decoded {
	out := make([]*decoded, len(files))
	each(len(files), func(i int) { out[i] = decode(files[i]) })
	return out
}

// each calls f for the numbers below n on all cores.
func each(n int, f func(i int)) {
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), n) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				f(int(i))
			}
		})
	}
	workers.Wait()
}

// fileKey identifies a decoded file: its origins contain the name.
type fileKey struct {
	name string
	sum  [sha256.Size]byte
}

func keyOf(f File) fileKey { return fileKey{f.Name, sha256.Sum256(f.Data)} }

// Cache keeps decoded files by name and content, the ones used last. It is safe for concurrent use.
type Cache struct {
	limit int // bytes of file content

	mu    sync.Mutex
	size  int
	byKey map[fileKey]*list.Element
	order *list.List // of *cached, used last at the front
}

type cached struct {
	key  fileKey
	size int
	get  func() *decoded // decodes at the first call; later and concurrent calls wait for it
}

// NewCache returns a cache of files with up to limit bytes of content. A decoded file of 500 bytes
// takes 2.2 KB.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, byKey: map[fileKey]*list.Element{}, order: list.New()}
}

// Prepare decodes files that a later change is going to hold. Without it the change decodes them.
func (c *Cache) Prepare(files []File) {
	get := make([]func() *decoded, len(files))
	for i, f := range files {
		get[i] = c.find(keyOf(f), f.Data)
	}
	each(len(get), func(i int) { get[i]() })
}

// decodeAll returns the decoded files.
func (c *Cache) decodeAll(files []*file) []*decoded {
	get := make([]func() *decoded, len(files))
	for i, f := range files {
		get[i] = c.find(f.key, f.data)
	}
	out := make([]*decoded, len(files))
	each(len(get), func(i int) { out[i] = get[i]() })
	return out
}

func (c *Cache) find(key fileKey, data []byte) func() *decoded {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.byKey[key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*cached).get
	}
	x := &cached{key: key, size: len(data)}
	x.get = sync.OnceValue(func() *decoded { return decode(File{Name: key.name, Data: data}) })
	c.byKey[key] = c.order.PushFront(x)
	c.size += x.size
	for c.size > c.limit {
		oldest := c.order.Remove(c.order.Back()).(*cached)
		delete(c.byKey, oldest.key)
		c.size -= oldest.size
	}
	return x.get
}
