// Command rig3 plays the cases of the third review: it starts the project's gateway as
// separate processes with stand-ins for the platform, the back ends and the clients, all
// on loopback addresses, and checks a rule.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that a back end has run.
type arrival struct {
	backend, service, id, method, uri string
	body                              []byte
	at                                time.Time
}

// run is one play of a case.
type run struct {
	trouble bool
	root    string // of the repository
	temp    string
	began   time.Time
	store   *store
	hosts   []*gateway
	next    int // last byte of the latest loopback address

	mu       sync.Mutex
	file     *os.File
	arrivals []arrival
	broken   []string
}

// gateway is a machine that runs the project's gateway.
type gateway struct {
	name, zone, ip          string
	front, ready, directory string
	settings                string
	command                 *exec.Cmd
	ended                   chan struct{}
	run                     *run
	bounds                  map[string]any
}

func (r *run) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.record("BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

func (r *run) ran(b *backend, req *http.Request, body []byte) {
	if b.quiet {
		return
	}
	a := arrival{b.id, b.service, req.Header.Get(prefix + "Request-Id"), req.Method, req.RequestURI, body, time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.record("backend %s of %s runs %s: %s %s with %d bytes", a.backend, a.service, a.id, a.method, a.uri, len(body))
}

// must ends the program with status 2, since the case could not run.
func (r *run) must(err error) {
	if err != nil {
		r.record("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		r.end()
		os.Exit(2)
	}
}

func (r *run) fail(format string, args ...any) { r.must(fmt.Errorf(format, args...)) }

// ip returns a loopback address that no other process of this machine is likely to use.
func (r *run) ip() string {
	r.next++
	return fmt.Sprintf("127.%d.%d.%d", 11+os.Getpid()%200, 1+os.Getpid()/200%250, r.next)
}

// ports returns n ports that are free at all of the addresses.
func (r *run) ports(n int, ips []string) []int {
	var ports []int
	for base := 20000 + os.Getpid()%10000; len(ports) < n && base < 32000; base++ {
		free := true
		for _, ip := range ips {
			l, err := listen(fmt.Sprintf("%s:%d", ip, base))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			ports = append(ports, base)
		}
	}
	if len(ports) < n {
		r.fail("no free ports")
	}
	return ports
}

// start starts one gateway for each of the zones.
func (r *run) start(zones ...string) {
	var ips []string
	for range zones {
		ips = append(ips, r.ip())
	}
	p := r.ports(5, ips)
	address := func(ip string, i int) string { return fmt.Sprintf("%s:%d", ip, p[i]) }
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, address(ip, 2))
	}
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region"
	}
	for i, zone := range zones {
		ip := ips[i]
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip, run: r,
			front: address(ip, 0), ready: address(ip, 1), directory: address(ip, 3)}
		g.settings = filepath.Join(r.temp, g.name+".json")
		data, err := json.Marshal(map[string]any{
			"node": g.name, "role": "host", "class": "edge", "serves": []string{"edge", "directory", "control_plane"},
			"ip": ip, "zone": zone, "region": "region", "zones": regions,
			"listen":        map[string]string{"front": g.front, "ready": g.ready, "control": address(ip, 2), "directory": g.directory},
			"internalPorts": []int{p[4], p[4]}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
				"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
				"budgetWindowS": 10, "budgetSlack": 54, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": r.store.address, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		})
		r.must(err)
		r.must(os.WriteFile(g.settings, data, 0o600))
		r.hosts = append(r.hosts, g)
		g.start()
	}
}

// start starts the process as the deploy file says.
func (g *gateway) start() {
	output, err := os.OpenFile(filepath.Join(g.run.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	g.run.must(err)
	g.command = exec.Command(filepath.Join(g.run.root, "target/bin/gateway"))
	g.command.Dir = g.run.root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASHORE_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = output, output
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.run.must(g.command.Start())
	ended := make(chan struct{})
	g.ended = ended
	command := g.command
	go func() {
		_ = command.Wait()
		g.run.record("gateway %s has ended: %s", g.name, command.ProcessState)
		close(ended)
	}()
	g.run.record("gateway %s is started", g.name)
}

func (g *gateway) signal(s syscall.Signal) {
	g.run.record("gateway %s gets %s", g.name, s)
	_ = g.command.Process.Signal(s)
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until all gateways are ready, as the platform asks them.
func (r *run) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, g := range r.hosts {
			if resp, err := client.Get("http://" + g.ready + names["ready"]); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(r.hosts) {
			break
		}
		if time.Now().After(deadline) {
			r.fail("%d of %d gateways are ready", n, len(r.hosts))
		}
	}
	time.Sleep(2 * time.Second)
	r.record("all gateways are ready")
}

// runs returns the requests that the back ends have run so far.
func (r *run) runs() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *run) end() {
	for _, g := range r.hosts {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
			select {
			case <-g.ended:
			case <-time.After(2 * time.Second):
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temp)
	}
}

const domain = "pupu76.example"

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	m := map[string]any{
		"name": name, "host": domain, "prefix": prefix, "kind": kind, "timeoutMs": 8000, "targetLatencyMs": 800, "priority": 2,
		"service": service, "attempts": 2,
	}
	for key, value := range more {
		m[key] = value
	}
	return m
}

// configure writes a configuration.
func (r *run) configure(version, maxBody int, routes []map[string]any, services ...string) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 31, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0})
	}
	r.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	r.record("configuration %d is acknowledged", version)
}

func main() {
	root := flag.String("root", "", "folder of the repository")
	out := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig3: unknown case", flag.Arg(0))
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(*out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	temp, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: *root, temp: temp, began: time.Now(), file: file}
	time.AfterFunc(115*time.Second, func() { r.fail("the case takes too long") })
	r.store = newStore(r, r.ip())
	play(r)
	r.end()
	if len(r.broken) > 0 {
		r.record("verdict: broken")
		fmt.Println("broken:", strings.Join(r.broken, "; "))
		os.Exit(1)
	}
	r.record("verdict: held")
	fmt.Println("held")
}
