package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site mvgwa-sched, which all scripts use.
const (
	holdMax     = 6 * time.Second
	graceS      = 6.0
	cancelBound = 3 * time.Second
	drainBound  = 2 * time.Second
	finish      = 14 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

// zones are those of the site.
var zones = []string{"lowell-a", "lowell-b", "lawrence", "nashua"}

// ports are the same on all machines, as on the platform.
type ports struct{ front, readiness, control, peer, metrics, worker, cloud int }

// cluster is the system under test: five keepers and some entries, each a process with a loopback address of its own.
type cluster struct {
	record  *record
	folder  string
	program string
	network string // first three bytes of the addresses
	ports   ports
	keepers []*daemon
	entries []*daemon
	starts  chan func()
}

// daemon is one process of the system.
type daemon struct {
	name, role, ip, zone, dataDir string
	cluster                       *cluster
	mutex                         sync.Mutex
	cmd                           *exec.Cmd
	done                          chan struct{}
	started                       bool // once
	ending                        bool
	log                           string
}

func newCluster(rec *record, folder, program string, keepers, entries int) (*cluster, error) {
	c := &cluster{record: rec, folder: folder, program: program, starts: make(chan func())}
	// All processes are started from one thread: the kernel kills them when it ends, so that none outlives this program.
	go func() {
		runtime.LockOSThread()
		for start := range c.starts {
			start()
		}
	}()
	for try := 0; try < 50; try++ {
		c.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if p, err := c.freePorts(); err == nil {
			c.ports = p
			break
		}
	}
	if c.ports.front == 0 {
		return nil, fmt.Errorf("no free ports")
	}
	for i := range keepers {
		c.keepers = append(c.keepers, c.daemon("keeper", i, fmt.Sprintf("%s.%d", c.network, 11+i)))
	}
	for i := range entries {
		c.entries = append(c.entries, c.daemon("entry", i, fmt.Sprintf("%s.%d", c.network, 31+i)))
	}
	return c, nil
}

func (c *cluster) daemon(role string, i int, ip string) *daemon {
	name := fmt.Sprintf("%s-%d", role, i)
	return &daemon{name: name, role: role, ip: ip, zone: zones[i%len(zones)], dataDir: filepath.Join(c.folder, "data-"+name), cluster: c, log: filepath.Join(c.folder, name+".log")}
}

// freePorts finds ports that are free for TCP and UDP on the first address.
func (c *cluster) freePorts() (p ports, err error) {
	next := 12000 + rand.IntN(15000)
	for _, port := range []*int{&p.front, &p.readiness, &p.control, &p.peer, &p.metrics, &p.worker, &p.cloud} {
		for ; ; next++ {
			if next > 31000 {
				return ports{}, fmt.Errorf("no free port")
			}
			tcp, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", next))
			if err != nil {
				continue
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", fmt.Sprintf("0.0.0.0:%d", next))
			if err != nil {
				continue
			}
			_ = udp.Close()
			*port = next
			next++
			break
		}
	}
	return p, nil
}

func (c *cluster) controls() (list []string) {
	for _, k := range c.keepers {
		list = append(list, fmt.Sprintf("%s:%d", k.ip, c.ports.control))
	}
	return list
}

func (c *cluster) fronts() (list []string) {
	for _, e := range c.entries {
		list = append(list, fmt.Sprintf("%s:%d", e.ip, c.ports.front))
	}
	return list
}

// settings are those of deploy/settings.yaml, filled in; JSON is YAML.
func (d *daemon) settings(first bool) []byte {
	c := d.cluster
	s := map[string]any{
		"process": d.name, "address": d.ip, "data-centre": d.zone, "data-centres": zones, "peer-port": c.ports.peer,
		"metrics": fmt.Sprintf("%s:%d", d.ip, c.ports.metrics), "seeds": c.controls()[:3], "first-start": first, "voters": 5,
		"maximum-lease": holdMax.Milliseconds(), "grace": graceS, "platform-address": fmt.Sprintf("%s.2:%d", c.network, c.ports.cloud),
		"machine-order-rate": 64.0, "policy-address": "", "fleet-key": "5b1d6c2f0e9a47d38c5e7f1a2b3c4d5e6f708192a3b4c5d6e7f8091a2b3c4d5e",
	}
	if d.role == "keeper" {
		s["control"], s["data-folder"] = fmt.Sprintf("%s:%d", d.ip, c.ports.control), d.dataDir
	} else {
		s["callers"], s["readiness"] = fmt.Sprintf("%s:%d", d.ip, c.ports.front), fmt.Sprintf("%s:%d", d.ip, c.ports.readiness)
	}
	text, _ := json.MarshalIndent(s, "", "  ")
	return text
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := filepath.Join(d.cluster.folder, d.name+".yaml")
	if err := os.WriteFile(file, d.settings(!d.started), 0o600); err != nil {
		return err
	}
	if d.role == "keeper" {
		if err := os.MkdirAll(d.dataDir, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	memory := map[string]string{"keeper": "190MiB", "entry": "100MiB"}[d.role]
	cmd := exec.Command(d.cluster.program, d.role)
	cmd.Env = append(os.Environ(), "SAPPHIRESAIL_SETTINGS="+file, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "GOMEMLIMIT="+memory)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	d.cluster.starts <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	d.started, d.ending, d.cmd, d.done = true, false, cmd, make(chan struct{})
	done := d.done
	go func() {
		err := cmd.Wait()
		d.mutex.Lock()
		ending := d.ending
		d.mutex.Unlock()
		if !ending {
			d.cluster.record.add("%s ended by itself: %v", d.name, err)
			d.cluster.record.ownEnd()
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, which this program has started.
func (d *daemon) signal(s syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.cmd != nil {
		d.ending = d.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = d.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits until it has ended.
func (d *daemon) kill() {
	d.mutex.Lock()
	done := d.done
	d.mutex.Unlock()
	if done == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-done
}

func (c *cluster) startAll() error {
	for _, d := range append(append([]*daemon{}, c.keepers...), c.entries...) {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) close() {
	for _, d := range append(append([]*daemon{}, c.keepers...), c.entries...) {
		d.kill()
	}
}

// leader returns the keeper whose log says last that it has begun to lead. The logs only tell which process a disruption hits; no check reads
// them.
func (c *cluster) leader() *daemon {
	var found *daemon
	best := ""
	for _, k := range c.keepers {
		text, _ := os.ReadFile(k.log)
		for _, line := range strings.Split(string(text), "\n") {
			if !strings.Contains(line, "leadership acquired") {
				continue
			}
			var m struct {
				Term uint64 `json:"term"`
			}
			_ = json.Unmarshal([]byte(line), &m)
			if key := fmt.Sprintf("%020d", m.Term); key > best {
				best, found = key, k
			}
		}
	}
	return found
}
