package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the breaks of the rule.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	begin  time.Time
	breaks int
	counts map[string]int
	order  []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begin: time.Now(), counts: map[string]int{}}, nil
}

// event writes one line with the time since the start of the script.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// broken records a break of the rule.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
	r.line("BROKEN "+format, args...)
}

// count counts something that is too frequent for a line each.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[name] == 0 {
		r.order = append(r.order, name)
	}
	r.counts[name]++
}

func (r *record) counted(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// close writes the counts and returns the number of breaks.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.order {
		r.line("total %s: %d", name, r.counts[name])
	}
	r.line("breaks of the rule: %d", r.breaks)
	r.out.Flush()
	r.file.Close()
	return r.breaks
}
