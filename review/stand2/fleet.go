package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each process. Each has a loopback address of its own.
const (
	frontPort = 7001
	readyPort = 7002
	innerPort = 7003
)

// storageMemoryMb is the memory of a machine with a disk.
const storageMemoryMb = 294

// restartDelay is how long the platform waits before it starts a process again.
const restartDelay = 500 * time.Millisecond

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one process of siskinloomd, which the platform starts again when it ends.
type machine struct {
	name, ip, zone string
	storage        bool
	memoryMb       int
	bootPath       string

	mu       sync.Mutex
	command  *exec.Cmd
	stopping bool
	ownEnds  int // how often the process ended by itself, memory over the limit included
	peakMb   int
}

// fleet is everything that a run starts.
type fleet struct {
	bin, dir string
	record   *record
	store    *storeServer
	storeAt  string
	machines []*machine
	engines  []*engine
	desks    []*desk
	filings  *filings
	spoiled  bool // second copies of answers lack the request's ID
	bounds   map[string]any
	edgeMb   int
	runs     sync.Map // engine at which a request began to run, by the request's ID
	done     chan struct{}
	wg       sync.WaitGroup
}

// bounds returns the bounds of the sheets of kmrsu-loom-grown and cpw-tours-grown.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 6000, "syncS": 6, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 6000, "recoveryS": 15, "passMs": 200, "finishS": 10, "statusS": 120,
		"cancelMs": 3000, "settleMs": 1000, "fencingRequired": false, "leaseTtlMs": 3000, "freezeSlackMs": 300,
	}
}

// noteRun records that an engine has begun to work on a request.
func (f *fleet) noteRun(id string, e *engine) { f.runs.Store(id, e) }

// loopback returns the i-th loopback address of this run.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid%256, i+1)
}

func (f *fleet) entries() []*machine {
	var entries []*machine
	for _, m := range f.machines {
		if !m.storage {
			entries = append(entries, m)
		}
	}
	return entries
}

func (m *machine) front() string { return net.JoinHostPort(m.ip, strconv.Itoa(frontPort)) }

// startStore starts the platform's store.
func (f *fleet) startStore() error {
	f.store = newStoreServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	return nil
}

// put writes a key of the operator, of a trainer or of an engine.
func (f *fleet) put(key string, v any) {
	raw, _ := json.Marshal(v)
	f.store.put(key, raw)
}

// addMachine adds a machine and starts its process.
func (f *fleet) addMachine(name, zone string, storage bool) error {
	m := &machine{name: name, ip: loopback(len(f.machines)), zone: zone, storage: storage, memoryMb: f.edgeMb}
	boot := map[string]any{
		"nodeName": name, "machineClass": "edge", "serves": []string{"edge"}, "ip": m.ip, "zone": zone, "region": "here",
		"listenAddrs": map[string]string{"front": m.front(), "ready": net.JoinHostPort(m.ip, strconv.Itoa(readyPort))},
		"portRange":   []int{innerPort, innerPort + 15}, "seeds": []string{}, "bootstrap": true, "heartbeatMs": 1200,
		"discovery": "platform", "entry": "virtual_ip",
		"limits":   map[string]any{"cpuShare": 0.144, "cores": 1, "memoryMb": f.edgeMb, "maxFds": 4100, "linkMbps": 60.0},
		"bounds":   f.bounds,
		"platform": map[string]any{"address": f.storeAt, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	}
	if storage {
		m.memoryMb = storageMemoryMb
		data := filepath.Join(f.dir, name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		boot["machineClass"], boot["serves"], boot["listenAddrs"], boot["dataDir"] = "storage", []string{"storage"}, map[string]string{}, data
		boot["limits"] = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": storageMemoryMb, "maxFds": 8200, "linkMbps": 600.0, "diskMb": 390}
	}
	raw, err := json.Marshal(boot)
	if err != nil {
		return err
	}
	m.bootPath = filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(m.bootPath, raw, 0o600); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	f.wg.Add(1)
	go f.supervise(m)
	return nil
}

// supervise starts a machine's process, and again whenever it has ended, until the run is over.
func (f *fleet) supervise(m *machine) {
	defer f.wg.Done()
	for {
		m.mu.Lock()
		if m.stopping {
			m.mu.Unlock()
			return
		}
		command := exec.Command(f.bin, "platform", "--metrics-port", "9464", "--settings", "deploy/mechanisms.ini")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "SISKINLOOM_BOOT=" + m.bootPath}
		log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			command.Stdout, command.Stderr = log, log
			err = command.Start()
		}
		if err != nil {
			m.mu.Unlock()
			f.record.add("machine %s could not be started: %v", m.name, err)
			return
		}
		m.command = command
		m.mu.Unlock()
		f.record.add("machine %s started", m.name)
		ended := make(chan struct{})
		go f.limitMemory(m, command.Process, ended)
		err = command.Wait()
		close(ended)
		_ = log.Close()
		m.mu.Lock()
		stopping := m.stopping
		if !stopping {
			m.ownEnds++
			f.record.add("machine %s: its process has ended by itself, for the %d. time (%v)", m.name, m.ownEnds, err)
		}
		m.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(restartDelay)
	}
}

// limitMemory ends a process that uses more memory than its machine has, as the platform does.
// Only anonymous memory is counted, not the pages of the program's file.
func (f *fleet) limitMemory(m *machine, process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := anonymousMb(process.Pid)
		m.mu.Lock()
		m.peakMb = max(m.peakMb, mb)
		m.mu.Unlock()
		if mb > m.memoryMb {
			f.record.add("machine %s: %d MB are used of %d, the platform kills the process", m.name, mb, m.memoryMb)
			_ = process.Kill()
			return
		}
	}
}

// anonymousMb returns the anonymous memory of a process in MB.
func anonymousMb(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// stop ends all processes of the run.
func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopping = true
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGKILL)
		}
		m.mu.Unlock()
	}
	f.wg.Wait()
}
