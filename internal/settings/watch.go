package settings

import (
	"bytes"
	"os"
	"sync"
	"time"
)

const checkPeriod = 2 * time.Second // a file that changes without a signal is noticed within this

// Watch reads a settings file again when it changes.
type Watch struct {
	path string
	took func(Settings, error)
	data []byte
	stop chan struct{}
	done sync.WaitGroup
}

// NewWatch calls took with the outcome of reading the file at path whenever the
// file has changed, looking at each signal and periodically, until Close.
func NewWatch(path string, signals <-chan os.Signal, took func(Settings, error)) *Watch {
	w := &Watch{path: path, took: took, stop: make(chan struct{})}
	w.data, _ = os.ReadFile(path) // a file that is gone counts as changed once it is back
	w.done.Go(func() {
		t := time.NewTicker(checkPeriod)
		defer t.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-signals:
			case <-t.C:
			}
			w.check()
		}
	})
	return w
}

// check reads the file and passes it on if its content is new.
func (w *Watch) check() {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.took(Settings{}, err)
		return
	}
	if bytes.Equal(data, w.data) {
		return
	}
	w.data = data
	w.took(Parse(w.path, data))
}

// Close stops watching.
func (w *Watch) Close() {
	close(w.stop)
	w.done.Wait()
}
