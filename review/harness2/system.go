package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// Sizes and settings of the deployment, those of a small one.
const (
	keeperCount  = 5
	entryCount   = 3
	seedCount    = 3
	holdMax      = 6 * time.Second
	graceSeconds = 6
	restartDelay = 600 * time.Millisecond // the platform starts a process that has ended after a short delay
	portAttempts = 50
)

var zones = []string{"z-a", "z-b", "z-c"}

// system is the processes of the program under review, and the folder in which they keep their files.
type system struct {
	record  *record
	program string
	folder  string
	cloud   string // address of the stand-in of the provider
	network string // first three bytes of the addresses
	ports   struct{ peer, front, ready, control, metrics int }
	keepers []*process
	entries []*process
	// launches are run by one thread, which lives as long as the case.
	launches chan func()
}

// process is one process of the deployment, which may be started several times.
type process struct {
	name, role, zone, address, settings, log string
	system                                   *system
	mutex                                    sync.Mutex
	cmd                                      *exec.Cmd
	done                                     chan struct{}
}

// newSystem chooses free addresses and writes the settings of all processes. cloud is the address of the stand-in of the provider.
func newSystem(r *record, program, folder, network, cloud string) (*system, error) {
	s := &system{record: r, program: program, folder: folder, network: network, cloud: cloud, launches: make(chan func())}
	go s.launch()
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	for i := range keeperCount + entryCount {
		p := &process{system: s, address: fmt.Sprintf("%s.%d", network, 11+i), zone: zones[i%len(zones)], role: "keeper"}
		if i >= keeperCount {
			p.role = "entry"
			s.entries = append(s.entries, p)
		} else {
			s.keepers = append(s.keepers, p)
		}
		p.name = fmt.Sprintf("%s-%d", p.role, i)
		p.settings = filepath.Join(folder, p.name+".yaml")
		p.log = filepath.Join(folder, p.name+".log")
	}
	for _, p := range s.processes() {
		if err := s.writeSettings(p, true); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// launch starts processes from one thread.
func (s *system) launch() {
	runtime.LockOSThread()
	for start := range s.launches {
		start()
	}
}

// choosePorts finds ports that are free at all addresses of the network.
func (s *system) choosePorts() error {
	for range portAttempts {
		first := 12000 + rand.IntN(15000)
		if s.portsFree(first, 5) {
			s.ports.peer, s.ports.front, s.ports.ready, s.ports.control, s.ports.metrics = first, first+1, first+2, first+3, first+4
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *system) portsFree(first, count int) bool {
	for i := range keeperCount + entryCount {
		for port := first; port < first+count; port++ {
			address := fmt.Sprintf("%s.%d:%d", s.network, 11+i, port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

// settingsOf returns a settings file as the template in deploy/ lays it out.
func (s *system) settingsOf(p *process, firstStart bool) []byte {
	var seeds []string
	for _, k := range s.keepers[:seedCount] {
		seeds = append(seeds, k.controlAddress())
	}
	quoted := func(list []string) string {
		text, _ := json.Marshal(list)
		return string(text)
	}
	var b bytes.Buffer
	put := func(key string, value any) { _, _ = fmt.Fprintf(&b, "%s: %v\n", key, value) }
	text := func(v string) string { return `"` + v + `"` }
	front, ready, control, data := "", "", "", ""
	if p.role == "keeper" {
		control, data = p.controlAddress(), filepath.Join(s.folder, "data-"+p.name)
	} else {
		front, ready = p.frontAddress(), fmt.Sprintf("%s:%d", p.address, s.ports.ready)
	}
	put("process", text(p.name))
	put("address", text(p.address))
	put("data-centre", text(p.zone))
	put("data-centres", quoted(zones))
	put("peer-port", s.ports.peer)
	put("callers", text(front))
	put("readiness", text(ready))
	put("control", text(control))
	put("metrics", text(fmt.Sprintf("%s:%d", p.address, s.ports.metrics)))
	put("seeds", quoted(seeds))
	put("first-start", firstStart)
	put("data-folder", text(data))
	put("voters", keeperCount)
	put("maximum-lease", holdMax.Milliseconds())
	put("grace", graceSeconds)
	put("platform-address", text(s.cloud))
	put("machine-order-rate", 64)
	put("policy-address", text(s.cloud))
	put("fleet-key", text(strings.Repeat("5b1d6c2f", 8)))
	return b.Bytes()
}

func (p *process) controlAddress() string {
	return fmt.Sprintf("%s:%d", p.address, p.system.ports.control)
}

func (p *process) frontAddress() string {
	return fmt.Sprintf("%s:%d", p.address, p.system.ports.front)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	limit := "100MiB"
	if p.role == "keeper" {
		limit = "190MiB"
	}
	cmd := exec.Command(p.system.program, p.role)
	cmd.Env = append(os.Environ(), "SAPPHIRESAIL_SETTINGS="+p.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "GOMEMLIMIT="+limit)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the thread that has started it ends, so that none is left however the case ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	p.system.launches <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.done)
	p.system.record.line("start %s", p.name)
	return nil
}

// kill sends SIGKILL and waits until the process is gone.
func (p *process) kill() {
	p.mutex.Lock()
	cmd, done := p.cmd, p.done
	p.mutex.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
	p.system.record.line("killed %s", p.name)
}

// startAll starts the processes.
func (s *system) startAll() error {
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// endFirstStart writes the settings that hold for every later start.
func (s *system) endFirstStart() error {
	for _, p := range s.processes() {
		if err := s.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) writeSettings(p *process, firstStart bool) error {
	return os.WriteFile(p.settings, s.settingsOf(p, firstStart), 0o600)
}

// processes returns all processes, the keepers first.
func (s *system) processes() []*process {
	return append(append([]*process{}, s.keepers...), s.entries...)
}

func (s *system) close() {
	for _, p := range s.processes() {
		p.kill()
	}
}

func (s *system) controlAddresses() []string {
	var list []string
	for _, k := range s.keepers {
		list = append(list, k.controlAddress())
	}
	return list
}
