package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const graceTime = 6 * time.Second // grace_s of the settings

// instance is a process of the system.
type instance struct {
	name, zone, ip string
	store          string
	cmd            *exec.Cmd
	ready          bool
	misses         int
}

// fleet runs the processes of the system and does what the platform's routers do.
type fleet struct {
	root, dir string
	ports     map[string]int // packet, ready, control, inner
	rec       *recorder
	seeds     []string
	mu        sync.Mutex
	all       []*instance
	stop      chan struct{}
}

// settingsFile renders the template of the deploy file for i.
func (f *fleet) settingsFile(i *instance, seeds []string, bootstrap bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy/settings.ini"))
	if err != nil {
		return "", err
	}
	text := strings.NewReplacer(
		"{{node_name}}", i.name, "{{zone}}", i.zone, "{{ip}}", i.ip,
		"{{listen.packet_addr}}", fmt.Sprintf("%s:%d", i.ip, f.ports["packet"]), "{{listen.ready}}", fmt.Sprintf("%s:%d", i.ip, f.ports["ready"]),
		"{{inner_ports.0}}", strconv.Itoa(f.ports["inner"]), "{{inner_ports.1}}", strconv.Itoa(f.ports["inner"]+1),
		"{{platform.address}}", i.store, "{{seeds}}", strings.Join(seeds, ","), "{{bootstrap}}", strconv.FormatBool(bootstrap),
		"{{bounds.grace_s}}", "6", "{{bounds.cold_overrun}}", "1.5", "{{bounds.cold_slack}}", "5",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("template has a field that the stand-in does not know")
	}
	path := filepath.Join(f.dir, i.name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// launch starts the process of i with the command of the deploy file.
func (f *fleet) launch(i *instance, settings string) error {
	log, err := os.Create(filepath.Join(f.dir, i.name+".log"))
	if err != nil {
		return err
	}
	i.cmd = exec.Command("target/carawaycart", "balancer")
	i.cmd.Dir, i.cmd.Stdout, i.cmd.Stderr = f.root, log, log
	i.cmd.Env = []string{"CARAWAYCART_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return i.cmd.Start()
}

// kill kills all processes.
func (f *fleet) kill() {
	for _, i := range f.all {
		_ = i.cmd.Process.Kill()
		_ = i.cmd.Wait()
	}
}

// restart starts all processes again, with settings that say that it is not the first start.
func (f *fleet) restart() error {
	for _, i := range f.all {
		path, err := f.settingsFile(i, f.seeds, false)
		if err != nil {
			return err
		}
		if err := f.launch(i, path); err != nil {
			return err
		}
	}
	return nil
}

// roll stops the process of i as planned, and starts it again.
func (f *fleet) roll(i *instance) error {
	if err := i.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	killed := time.AfterFunc(graceTime, func() { _ = i.cmd.Process.Kill() })
	_ = i.cmd.Wait()
	killed.Stop()
	path, err := f.settingsFile(i, f.seeds, false)
	if err != nil {
		return err
	}
	return f.launch(i, path)
}

// watchReady checks twice a second whether the instances are ready.
func (f *fleet) watchReady() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		for _, i := range f.all {
			go func() {
				r, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", i.ip, f.ports["ready"]))
				ok := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if ok {
					i.ready, i.misses = true, 0
				} else if i.misses++; i.misses >= 2 {
					i.ready = false
				}
			}()
		}
	}
}

// route returns the instance that gets the packets of a flow: by a hash that moves only the
// flows of an instance that joins or leaves.
func (f *fleet) route(zone string, caller, service netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var own, ready, others []*instance
	for _, i := range f.all {
		switch {
		case i.zone == zone:
			own = append(own, i)
			if i.ready {
				ready = append(ready, i)
			}
		case i.ready:
			others = append(others, i)
		}
	}
	from := ready
	if len(ready) == 0 {
		from = others
	} else if 2*len(ready) < len(own) {
		from = own
	}
	var best *instance
	var bestScore uint64
	for _, i := range from {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, caller, service, i.name)
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		if best == nil || x > bestScore {
			best, bestScore = i, x
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", best.ip, f.ports["packet"])), true
}

// close kills the processes of the fleet.
func (f *fleet) close() {
	close(f.stop)
	for _, i := range f.all {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Kill()
			_ = i.cmd.Wait()
		}
	}
}
