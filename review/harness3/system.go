package main

import (
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

// keeperCount and entryCount are the processes of each role, as on a small deployment with fewer entries.
const (
	keeperCount = 5
	entryCount  = 3
)

var zones = []string{"lowell-a", "lowell-b", "lawrence", "nashua"}

// process is one process of the system under test.
type process struct {
	name, role, address, served, data, settings string

	mutex   sync.Mutex
	cmd     *exec.Cmd
	ending  bool
	unasked int
}

// system is all processes of the system under test.
type system struct {
	folder, program string
	keepers         []*process
	entries         []*process
	starts          chan func()
	waiting         sync.WaitGroup
}

// newSystem writes the settings of all processes, as deploy/settings.yaml has them, and starts them.
func newSystem(program, folder, cloud, advice string) (*system, error) {
	s := &system{folder: folder, program: program, starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // the kernel ends the processes with this thread
		for start := range s.starts {
			start()
		}
	}()
	block := 40 + rand.IntN(200)
	address := func(n int) string { return fmt.Sprintf("127.7.%d.%d", block, n+1) }
	ports, err := freePorts(4)
	if err != nil {
		return s, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", address(i), ports[0]))
	}
	for i := range keeperCount + entryCount {
		p := &process{name: fmt.Sprintf("keeper-%d", i), role: "keeper", address: address(i)}
		list := &s.keepers
		if i >= keeperCount {
			p.name, p.role = fmt.Sprintf("entry-%d", i-keeperCount), "entry"
			list = &s.entries
		}
		p.served = fmt.Sprintf("%s:%d", p.address, ports[0])
		p.data, p.settings = filepath.Join(folder, p.name+"-data"), filepath.Join(folder, p.name+".yaml")
		fields := map[string]any{
			"process": p.name, "address": p.address, "data-centre": zones[i%len(zones)], "data-centres": zones, "peer-port": ports[1],
			"seeds": seeds, "first-start": true, "voters": 5, "maximum-lease": holdMaxMs, "grace": 6, "platform-address": cloud, "machine-order-rate": 64,
			"policy-address": advice, "fleet-key": strings.Repeat("5b1d6c2f0e9a47d3", 4), "memory-limit": 284, "descriptor-limit": 4096,
			"metrics": fmt.Sprintf("%s:%d", p.address, ports[2]),
		}
		if p.role == "keeper" {
			fields["control"], fields["data-folder"] = p.served, p.data
		} else {
			fields["callers"], fields["readiness"] = p.served, fmt.Sprintf("%s:%d", p.address, ports[3])
		}
		text, _ := json.Marshal(fields) // JSON is YAML
		if err := os.WriteFile(p.settings, text, 0o600); err != nil {
			return s, err
		}
		*list = append(*list, p)
	}
	for _, p := range s.all() {
		if err := s.start(p); err != nil {
			return s, err
		}
	}
	return s, nil
}

// freePorts returns ports that are free for TCP and UDP on all loopback addresses.
func freePorts(count int) (ports []int, err error) {
	first := 11000 + rand.IntN(19000) // below the ports that the kernel hands out
	for port := first; port < first+2000 && len(ports) < count; port++ {
		tcp, tcpErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		udp, udpErr := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if tcpErr == nil {
			_ = tcp.Close()
		}
		if udpErr == nil {
			_ = udp.Close()
		}
		if tcpErr == nil && udpErr == nil {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, errors.New("too few free ports")
	}
	return ports, nil
}

func (s *system) all() []*process { return append(append([]*process(nil), s.keepers...), s.entries...) }

// start starts a process unless it runs; its output is appended to its log.
func (s *system) start(p *process) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(s.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "SAPPHIRESAIL_SETTINGS=" + p.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	s.starts <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	p.cmd, p.ending = cmd, false
	s.waiting.Go(func() {
		_ = cmd.Wait()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if !p.ending {
			p.unasked++
		}
		p.cmd = nil
	})
	return nil
}

// signal sends a signal to a process if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		p.ending = p.ending || signal == syscall.SIGKILL || signal == syscall.SIGTERM
		_ = p.cmd.Process.Signal(signal)
	}
}

func (p *process) runs() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd != nil
}

// kill kills a process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	for p.runs() {
		time.Sleep(2 * time.Millisecond)
	}
}

// leader returns the keeper whose log shows the last acquired leadership.
func (s *system) leader() *process {
	var leader *process
	latest := 0.0
	for _, k := range s.keepers {
		text, _ := os.ReadFile(filepath.Join(s.folder, k.name+".log"))
		for line := range strings.Lines(string(text)) {
			var e struct {
				Message string  `json:"msg"`
				At      float64 `json:"ts"`
			}
			if strings.Contains(line, "leadership acquired") && json.Unmarshal([]byte(line), &e) == nil && e.Message == "leadership acquired" && e.At >= latest {
				leader, latest = k, e.At
			}
		}
	}
	return leader
}

// close ends all processes.
func (s *system) close() {
	for _, p := range s.all() {
		p.kill()
	}
	s.waiting.Wait()
	close(s.starts)
}
