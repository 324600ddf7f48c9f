package config

import (
	"container/list"
	"crypto/sha256"
	"runtime"
	"sync"
	"sync/atomic"

	"rosemarygate/pkg/strictyaml"
)

// decodedFile is the result of decoding one file. It is immutable.
type decodedFile struct {
	config  *Config
	origins strictyaml.Origins
	errs    strictyaml.Errors
}

func decodeFile(f File) *decodedFile {
	d := &decodedFile{config: new(Config)}
	d.origins, d.errs = strictyaml.Decode(f.Name, f.Data, d.config)
	return d
}

// decodeAll decodes the files in parallel, since decoding takes half of the time of a merge.
func decodeAll(files []File) []*decodedFile {
	out := make([]*decodedFile, len(files))
	forEachParallel(len(files), func(i int) { out[i] = decodeFile(files[i]) })
	return out
}

// forEachParallel calls f for 0 to n-1, in parallel on all cores.
func forEachParallel(n int, f func(i int)) {
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

// fileKey identifies a decoded file. It includes the name, since the origins of the values
// contain it.
type fileKey struct {
	name string
	sum  [sha256.Size]byte
}

func fileKeyOf(f File) fileKey { return fileKey{f.Name, sha256.Sum256(f.Data)} }

// DecodeCache is an LRU cache of decoded files, by name and content. It is safe for concurrent use.
type DecodeCache struct {
	limit int // bytes of file content

	mu    sync.Mutex
	size  int // bytes of file content
	byKey map[fileKey]*list.Element
	lru   *list.List // of *cacheEntry, most recently used first
}

type cacheEntry struct {
	key    fileKey
	size   int
	decode func() *decodedFile // decodes at the first call; concurrent calls wait for its result
}

// NewDecodeCache returns a cache for files with up to limit bytes of content. A file of 500 bytes takes
// 2.2 KB when it is decoded.
func NewDecodeCache(limit int) *DecodeCache {
	return &DecodeCache{limit: limit, byKey: map[fileKey]*list.Element{}, lru: list.New()}
}

// Prepare decodes files of a later change in advance. The change decodes those that are not in
// the cache.
func (c *DecodeCache) Prepare(files []File) {
	decodeFuncs := make([]func() *decodedFile, len(files))
	for i, f := range files {
		decodeFuncs[i] = c.findOrAdd(fileKeyOf(f), f.Data)
	}
	forEachParallel(len(decodeFuncs), func(i int) { decodeFuncs[i]() })
}

// decodeAll returns the decoded files, in parallel and from the cache where possible.
func (c *DecodeCache) decodeAll(files []*file) []*decodedFile {
	decodeFuncs := make([]func() *decodedFile, len(files))
	for i, f := range files {
		decodeFuncs[i] = c.findOrAdd(f.key, f.data)
	}
	out := make([]*decodedFile, len(files))
	forEachParallel(len(decodeFuncs), func(i int) { out[i] = decodeFuncs[i]() })
	return out
}

func (c *DecodeCache) findOrAdd(key fileKey, data []byte) func() *decodedFile {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.byKey[key]; ok {
		c.lru.MoveToFront(e)
		return e.Value.(*cacheEntry).decode
	}
	entry := &cacheEntry{key: key, size: len(data)}
	entry.decode = sync.OnceValue(func() *decodedFile { return decodeFile(File{Name: key.name, Data: data}) })
	c.byKey[key] = c.lru.PushFront(entry)
	c.size += entry.size
	for c.size > c.limit {
		evicted := c.lru.Remove(c.lru.Back()).(*cacheEntry)
		delete(c.byKey, evicted.key)
		c.size -= evicted.size
	}
	return entry.decode
}
