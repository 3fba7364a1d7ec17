package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	zone       = "zone-a"
	graceS     = 8.0
	host       = "desk.example"
	programRun = "target/siskinloomd"
)

// programArgs are the arguments of the program in deploy/system.toml.
var programArgs = []string{"platform", "--metrics-port", "9464", "--settings", "deploy/mechanisms.ini"}

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string]int // by request ID
	last  time.Time      // when an engine last began to run a request
	onRun func(e *engine, r *http.Request, body []byte)
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), runs: map[string]int{}}, nil
}

// note writes a line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// ran records that an engine began to run a request.
func (r *recorder) ran(e *engine, request *http.Request, body []byte) {
	id := request.Header.Get(requestID)
	r.mu.Lock()
	r.runs[id]++
	r.last = time.Now()
	hook := r.onRun
	r.mu.Unlock()
	r.note("engine %s (%s) runs request %s: %s %s, %d bytes", e.id, e.service, id, request.Method, request.URL.RequestURI(), len(body))
	if hook != nil {
		hook(e, request, body)
	}
}

// lastRun returns when an engine last began to run a request.
func (r *recorder) lastRun() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

func (r *recorder) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// process is one process of the system.
type process struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir       string // temporary folder
	record    *recorder
	store     *store
	storeAddr string
	engines   []*engine
	processes []*process
	statusS   int // bound of the deployment
	// bootstrapped is set once the whole system has started for the first time.
	bootstrapped bool
}

// newFleet starts the stand-ins of the store and of the engines.
func newFleet(record *recorder, engines []*engine, config map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: record, store: newStore(), engines: engines, statusS: 120}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	for _, e := range engines {
		e.record = record
		if err := e.start(f.store); err != nil {
			return nil, err
		}
	}
	f.store.put("op/config", config)
	return f, nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// ports returns n different free ports of an address.
func ports(ip string, n int) ([]int, error) {
	var list []int
	seen := map[int]bool{}
	for len(list) < n {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		if !seen[p] {
			seen[p] = true
			list = append(list, p)
		}
	}
	return list, nil
}

// settings returns the settings file of a process, with the figures of a small deployment.
func (f *fleet) settings(name, class, ip, dataDir string, p []int) map[string]any {
	at := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(p[i])) }
	s := map[string]any{
		"nodeName": name, "role": "entry", "machineClass": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": "region-a",
		"zones": map[string]string{zone: "region-a"}, "portRange": []int{p[0], p[0]}, "seeds": []string{}, "bootstrap": !f.bootstrapped, "faultCounted": class == "storage",
		"listenAddrs": map[string]string{}, "dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1200,
		"limits":         map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4.4, "drainMs": 2000, "graceS": graceS, "lossSlackMs": 200, "configApplyMs": 2000,
			"downgradeSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 10, "statusS": f.statusS, "cancelMs": 3000, "settleMs": 1000,
			"quotaOverrun": 0.1, "fencingRequired": true, "leaseTtlMs": 3000, "freezeSlackMs": 300,
		},
		"platform": map[string]any{"address": f.storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	if class == "edge" {
		s["listenAddrs"] = map[string]string{"front": at(1), "ready": at(2)}
	} else {
		s["role"], s["dataDir"] = "worker", dataDir
	}
	return s
}

// startProcess starts a process of the system with the command of the deploy file.
func (f *fleet) startProcess(name, class string) (*process, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
	p, err := ports(ip, 3)
	if err != nil {
		return nil, err
	}
	dataDir := filepath.Join(f.dir, name)
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(f.settings(name, class, ip, dataDir, p))
	if err != nil {
		return nil, err
	}
	boot := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(boot, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(programRun, programArgs...)
	command.Env = append(os.Environ(), "SISKINLOOM_BOOT="+boot)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, command: command, ended: make(chan struct{}), front: net.JoinHostPort(ip, strconv.Itoa(p[1])), ready: net.JoinHostPort(ip, strconv.Itoa(p[2]))}
	go func() {
		_ = command.Wait()
		close(started.ended)
	}()
	f.processes = append(f.processes, started)
	f.record.note("started %s (%s) at %s", name, class, ip)
	return started, nil
}

// awaitReady waits until an entry answers its probe with 200.
func (f *fleet) awaitReady(p *process) error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + p.ready + "/-/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready after 20 s", p.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (f *fleet) terminate(p *process) {
	f.record.note("SIGTERM to %s", p.name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-p.ended:
			f.record.note("%s has ended", p.name)
		case <-time.After(time.Duration(graceS * float64(time.Second))):
			f.record.note("SIGKILL to %s", p.name)
			_ = p.command.Process.Kill()
		}
	}()
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// serviceConfig returns a service of the config; capacity is the memory of its model engines.
func serviceConfig(name string, capacity int) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	if name == modelService {
		s["engine"] = map[string]any{"slots": 32, "kvCapacity": capacity, "models": []map[string]string{{"name": modelName}}}
	}
	return s
}

// config returns the operator's config with the given routes.
func config(capacity int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes, "services": []any{serviceConfig(modelService, capacity), serviceConfig(plainService, capacity)},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
