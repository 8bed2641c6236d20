package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// deploy holds what the deploy file says of the role.
type deploy struct {
	root     string
	run      []string
	template string
}

func readDeploy(root string) (*deploy, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	value := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	d := &deploy{root: root, run: strings.Fields(value("run"))}
	template, err := os.ReadFile(filepath.Join(root, value("template")))
	if err != nil || len(d.run) == 0 {
		return nil, fmt.Errorf("deploy file: run %q, template: %v", d.run, err)
	}
	d.template = string(template)
	return d, nil
}

// render fills in the template of the settings.
func (d *deploy) render(fields map[string]string) string {
	return regexp.MustCompile(`{{([a-z_0-9.]+)}}`).ReplaceAllStringFunc(d.template, func(m string) string { return fields[m[2:len(m)-2]] })
}

// instance is a process of the role, on a machine of its own.
type instance struct {
	w        *world
	node     *node
	ip       netip.Addr
	storeURL string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// start starts the process with the command of the deploy file. Bootstrap is true for the
// first start of the whole system.
func (i *instance) start(bootstrap bool) error {
	if err := i.writeSettings(bootstrap); err != nil {
		return err
	}
	w := i.w
	log, err := os.OpenFile(filepath.Join(w.dir, i.node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.cmd = exec.Command(filepath.Join(w.deploy.root, w.deploy.run[0]), w.deploy.run[1:]...)
	i.cmd.Dir = w.deploy.root
	i.cmd.Env = []string{"CARAWAYCART_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
	w.record.event("process", "%s started", i.node.name)
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	select {
	case <-i.exited:
		return
	default:
	}
	_ = i.cmd.Process.Signal(s)
	i.w.record.event("process", "%s got %v", i.node.name, s)
}

// stop ends the process, with SIGKILL if SIGTERM takes too long.
func (i *instance) stop() {
	i.signal(syscall.SIGTERM)
	if i.exited == nil {
		return
	}
	select {
	case <-i.exited:
	case <-time.After(6 * time.Second):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}

// writeSettings fills in the template of the settings, as the platform does at every start
// and whenever they change.
func (i *instance) writeSettings(bootstrap bool) error {
	w := i.w
	fields := map[string]string{
		"node_name": i.node.name, "zone": i.node.zone, "ip": i.ip.String(), "seeds": strings.Join(w.seeds, ","), "bootstrap": fmt.Sprint(bootstrap),
		"listen.packet_addr": i.node.packets.String(), "listen.ready": fmt.Sprintf("%s:%d", i.ip, readyPort),
		"inner_ports.0": fmt.Sprint(innerPort), "inner_ports.1": fmt.Sprint(innerPort + 15), "platform.address": i.storeURL,
		"bounds.grace_s": w.grace, "bounds.cold_overrun": fmt.Sprint(coldOverrun), "bounds.cold_slack": fmt.Sprint(coldSlack),
	}
	i.settings = filepath.Join(w.dir, i.node.name+".ini")
	return os.WriteFile(i.settings, []byte(w.deploy.render(fields)), 0o644)
}

// running reports whether the process runs.
func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}
