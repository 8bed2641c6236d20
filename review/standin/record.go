package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and the broken rules, to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	began   time.Time
	counts  map[string]int
	broken  map[string]int
	firstOf map[string]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file: f, w: bufio.NewWriterSize(f, 1<<16), began: time.Now(), counts: make(map[string]int),
		broken: make(map[string]int), firstOf: make(map[string]string),
	}, nil
}

// event writes one line, which begins with the seconds since the start, and counts its kind.
func (r *record) event(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind]++
	r.line(kind, fmt.Sprintf(format, args...))
}

func (r *record) line(kind, text string) {
	_, _ = fmt.Fprintf(r.w, "%9.3f %s %s\n", time.Since(r.began).Seconds(), kind, text)
}

// breaks records that rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if r.broken[rule]++; r.broken[rule] == 1 {
		r.firstOf[rule] = text
	}
	r.line("BROKEN", rule+": "+text)
}

// close writes the totals, prints them, and returns the number of times that rule was broken.
func (r *record) close(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range sortedKeys(r.counts) {
		r.total("%s %d", kind, r.counts[kind])
	}
	for _, name := range sortedKeys(r.broken) {
		r.total("rule %s broken %d times, first: %s", name, r.broken[name], r.firstOf[name])
	}
	if r.broken[rule] == 0 {
		r.total("rule %s held", rule)
	}
	_ = r.w.Flush()
	_ = r.file.Close()
	return r.broken[rule]
}

func (r *record) total(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("TOTAL", text)
	fmt.Println(text)
}
