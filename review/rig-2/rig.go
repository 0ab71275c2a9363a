// Command rig plays the scripts of the second review: stand-ins for the store, the
// back ends and the clients, around processes of the real gateway.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// failed ends the run because the case could not be played.
type failed struct{ error }

func check(err error) {
	if err != nil {
		panic(failed{err})
	}
}

// rig is one run of a case.
type rig struct {
	trouble bool
	folder  string // temporary
	store   *store
	nodes   []*node
	backs   []*backend

	mu      sync.Mutex
	record  *os.File
	start   time.Time
	broken  []string
	lastID  int
	version int
}

// node is one machine with the gateway.
type node struct {
	name, zone, ip string
	gate           *gate
	file           string
	logs           *os.File
	command        *exec.Cmd
	ended          chan struct{}
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (r *rig) breaks(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", line)
	r.mu.Lock()
	r.broken = append(r.broken, line)
	r.mu.Unlock()
}

func (r *rig) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), r.lastID)
}

// ports of every machine; the machines differ in their addresses.
const (
	portFront, portReady, portDirectory, portControl, portInternal = 7101, 7102, 7103, 7105, 7180
)

// addNodes prepares machines, of the given zones in turn. All get the first three as seeds.
func (r *rig) addNodes(zones ...string) {
	base := os.Getpid()
	for i, zone := range zones {
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, gate: r.store.listen(),
			ip: fmt.Sprintf("127.%d.%d.%d", 1+base%250, 1+base/250%250, 11+i),
		})
	}
	regions := map[string]string{}
	var seeds []string
	for i, n := range r.nodes {
		regions[n.zone] = "region"
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, portControl))
		}
	}
	for _, n := range r.nodes {
		at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
		data, err := json.MarshalIndent(map[string]any{
			"node": n.name, "role": "host", "class": "edge", "serves": []string{"edge", "directory", "control_plane"},
			"ip": n.ip, "zone": n.zone, "region": "region", "zones": regions,
			"listen":        map[string]string{"front": at(portFront), "ready": at(portReady), "control": at(portControl), "directory": at(portDirectory)},
			"internalPorts": []int{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": true,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
				"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
				"budgetWindowS": 10, "budgetSlack": 54, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
				"ttl_max_s": 5,
			},
			"platform": map[string]any{
				"address": n.gate.address, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
				"ttlMinMs": 1000,
			},
		}, "", "  ")
		check(err)
		n.file = filepath.Join(r.folder, n.name+".json")
		check(os.WriteFile(n.file, data, 0o600))
		n.logs, err = os.Create(filepath.Join(r.folder, n.name+".log"))
		check(err)
	}
}

const heartbeat = 1200 * time.Millisecond

// startNode starts the gateway as the deploy file does.
func (r *rig) startNode(n *node) {
	n.command = exec.Command("target/bin/gateway")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASHORE_SETTINGS=" + n.file}
	n.command.Stdout, n.command.Stderr = n.logs, n.logs
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.command.Start())
	n.ended = make(chan struct{})
	command, ended := n.command, n.ended
	go func() { _ = command.Wait(); close(ended) }()
	r.note("start %s pid %d front %s:%d", n.name, n.command.Process.Pid, n.ip, portFront)
}

func (r *rig) signal(n *node, s syscall.Signal) {
	r.note("signal %s to %s", s, n.name)
	check(n.command.Process.Signal(s))
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, portFront) }

// ready asks a machine as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf(wire("http://%s:%d@ready"), n.ip, portReady))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready, and some seconds more.
func (r *rig) startAll(settle time.Duration) {
	for _, n := range r.nodes {
		r.startNode(n)
	}
	limit := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for !n.ready() {
			if time.Now().After(limit) {
				check(fmt.Errorf("%s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settle)
}

// addBackend starts a backend and registers it.
func (r *rig) addBackend(id, service, zone string, work time.Duration, slots int) *backend {
	b := newBackend(id, service, zone, work, slots)
	r.backs = append(r.backs, b)
	b.register(r.store, "ready")
	r.note("backend %s of %s at %s", id, service, b.address)
	return b
}

// host is the host name of all requests.
const host = "search.example"

// route is one route of a configuration.
type route map[string]any

func newRoute(name, prefix, kind, service string) route {
	return route{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "attempts": 2, "timeoutMs": 8000,
		"targetLatencyMs": 800, "priority": 1,
	}
}

// configure writes a configuration as the operator does.
func (r *rig) configure(routes []route, services ...string) time.Time {
	r.version += 3
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 100, "warmupS": 3, "warmupPerS": 20})
	}
	at := r.store.put("op/config", map[string]any{
		"version": r.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	r.note("configuration %d accepted", r.version)
	return at
}

// freePorts fails the run if the addresses of the machines are in use.
func (r *rig) freePorts() {
	for _, n := range r.nodes {
		for _, port := range []int{portFront, portReady, portDirectory, portControl, portInternal, 9464} {
			l, err := listen(fmt.Sprintf("%s:%d", n.ip, port))
			check(err)
			_ = l.Close()
		}
	}
}

func (r *rig) close() {
	for _, n := range r.nodes {
		if n.command == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("logs in", r.folder)
	}
}

// cases by name.
var cases = map[string]func(*rig){}

// main plays the case that the first argument names and writes its record to the
// folder that the second one names.
func main() {
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, store: newStore(), record: record, start: time.Now()}
	defer r.close()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case failed:
			r.note("the case could not be played: %v", e.error)
			fmt.Println("could not be played:", e.error)
			status = 2
		default:
			panic(e)
		}
	}()
	r.note("case %s, trouble %t", name, r.trouble)
	cases[name](r)
	for i, line := range r.broken {
		if i == 5 {
			break
		}
		fmt.Println(line)
	}
	if len(r.broken) > 0 {
		r.note("the rule was broken %d times", len(r.broken))
		fmt.Printf("the rule was broken %d times\n", len(r.broken))
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
