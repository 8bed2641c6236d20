package settings

import (
	"bytes"
	"os"
	"sync"
	"time"
)

// pollPeriod is the time between checks of the file, and so the longest delay
// until a change without a signal is detected.
const pollPeriod = 2 * time.Second

// Watcher monitors a settings file and reloads it when its content changes.
type Watcher struct {
	path     string
	onChange func(Settings, error)
	content  []byte // content when last read; nil if the file has never been read
	stop     chan struct{}
	done     sync.WaitGroup
}

// NewWatcher returns a running Watcher of the file at path. It checks the file on
// each signal and periodically until Close. It calls onChange with the parsed
// settings or the parse error when the content has changed, and with the read error
// at each check that cannot read the file.
func NewWatcher(path string, signals <-chan os.Signal, onChange func(Settings, error)) *Watcher {
	w := &Watcher{path: path, onChange: onChange, stop: make(chan struct{})}
	w.content, _ = os.ReadFile(path) // a file that is absent now counts as changed once it exists
	w.done.Go(func() {
		t := time.NewTicker(pollPeriod)
		defer t.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-signals:
			case <-t.C:
			}
			w.reloadIfChanged()
		}
	})
	return w
}

// reloadIfChanged reads the file and calls onChange if the content has changed or
// cannot be read.
func (w *Watcher) reloadIfChanged() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.onChange(Settings{}, err)
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	w.onChange(Parse(w.path, content))
}

// Close stops the monitoring and waits until it has ended.
func (w *Watcher) Close() {
	close(w.stop)
	w.done.Wait()
}
