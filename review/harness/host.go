package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// bounds are those of the site kovacic-iskalnik.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
	"budgetWindowS": 10, "budgetSlack": 54, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "ttl_max_s": 5,
}

const (
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// addressPool hands out loopback addresses that nobody else uses.
type addressPool struct {
	second, third int
	last          int
}

func newAddressPool() *addressPool {
	return &addressPool{second: 20 + rand.IntN(200), third: 1 + rand.IntN(250)}
}

func (p *addressPool) next() string {
	p.last++
	return fmt.Sprintf("127.%d.%d.%d", p.second, p.third, p.last)
}

// host is one machine of the system: a process that the platform starts, and starts
// again after it has ended.
type host struct {
	name, zone, ip string
	front          string
	directory      string
	ready          string
	settings       string
	root           string
	program        string
	out            *lockedBuffer
	maxFds         int // limit of the process; zero for that of the harness

	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	terms    []time.Time // when SIGTERM was sent
	stopping bool        // the machine is not started again
	ends     []string
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) lines(containing string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.SplitSeq(l.b.String(), "\n") {
		if strings.Contains(line, containing) {
			found = append(found, line)
		}
	}
	return found
}

// started holds all hosts, so that none is left behind.
var started struct {
	mu    sync.Mutex
	hosts []*host
}

// quitAll ends all processes that this program has started.
func quitAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, h := range started.hosts {
		h.quit()
	}
}

// newHosts writes the settings of hosts, one in each of the zones named.
func newHosts(pool *addressPool, root, folder, program, storeAddress string, zones []string) ([]*host, error) {
	ports := make([]int, 6)
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	var hosts []*host
	var seeds []string
	for i, zone := range zones {
		ip := pool.next()
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		h := &host{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip, front: at(ports[0]), directory: at(ports[1]), ready: at(ports[2]),
			root: root, program: program, out: &lockedBuffer{},
		}
		h.settings = filepath.Join(folder, h.name+".json")
		hosts = append(hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, at(ports[3]))
		}
	}
	for _, h := range hosts {
		at := func(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }
		data, err := json.MarshalIndent(map[string]any{
			"node": h.name, "role": "host", "class": "edge", "serves": []string{"edge", "directory", "control_plane"},
			"ip": h.ip, "zone": h.zone, "region": "region", "zones": regions,
			"listen":        map[string]string{"front": h.front, "ready": h.ready, "control": at(ports[3]), "directory": h.directory},
			"internalPorts": []int{ports[4], ports[4]}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
			"platform": map[string]any{
				"address": storeAddress, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
			},
		}, "", "  ")
		if err == nil {
			err = os.WriteFile(h.settings, data, 0o600)
		}
		if err != nil {
			return nil, err
		}
	}
	started.mu.Lock()
	defer started.mu.Unlock()
	started.hosts = append(started.hosts, hosts...)
	return hosts, nil
}

func freePort() (int, error) {
	l, err := listenTCP("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(port)
}

// start starts the process with the command of the deploy file, and again each time it
// has ended.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil
	}
	command := exec.Command(h.program)
	if h.maxFds > 0 { // the platform limits the descriptors of each process
		command = exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$0"`, h.program, strconv.Itoa(h.maxFds))
	}
	command.Dir = h.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIASHORE_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = h.out, h.out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait()
		h.mu.Lock()
		h.ends = append(h.ends, fmt.Sprintf("%s at %s: %s", h.name, stamp(time.Now()), command.ProcessState))
		h.mu.Unlock()
		close(ended)
		time.Sleep(restartDelay)
		_ = h.start()
	}()
	return nil
}

// signal sends a signal to the running process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM {
		h.terms = append(h.terms, time.Now())
	}
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// term sends SIGTERM, and SIGKILL after the grace time.
func (h *host) term() {
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			_ = command.Process.Kill()
		}
	}()
}

// leave stops the process as term does, and removes the machine: it is not started again.
func (h *host) leave() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.term()
}

// termBefore returns the latest SIGTERM before a moment.
func (h *host) termBefore(at time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.terms) - 1; i >= 0; i-- {
		if h.terms[i].Before(at) {
			return h.terms[i], true
		}
	}
	return time.Time{}, false
}

// quit ends the process for good.
func (h *host) quit() {
	h.mu.Lock()
	h.stopping = true
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + names.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the directory of a host where to connect.
func (h *host) resolve(zone string) ([]string, time.Duration, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.directory + names.Resolve + "?name=" + domain + "&region=region&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK || len(body.Addrs) == 0 {
		return nil, 0, errors.New("no addresses")
	}
	return body.Addrs, time.Duration(min(body.TTL, 5) * float64(time.Second)), nil
}

func awaitReady(hosts []*host, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
