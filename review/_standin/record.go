package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, buf: bufio.NewWriter(file)}, nil
}

// Printf writes one line with the time since the start of the run.
func (r *record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the seconds since the start of the run.
func (r *record) at(t time.Time) float64 {
	return t.Sub(r.start).Seconds()
}

func (r *record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buf.Flush()
	_ = r.file.Close()
}
