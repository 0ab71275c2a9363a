package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	memoryMb   = 284    // of a machine's process, as in its settings
	photoBytes = 260000 // of a request body; the configuration allows 262144
	photoTime  = 6400 * time.Millisecond
	photoRate  = 380 // new requests a second, over all machines
	steps      = 16  // in which a client sends a body
)

// resident returns the resident memory of a process in MB.
func resident(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb / 1024
		}
	}
	return 0
}

// machine is a gateway with its memory limit.
type machine struct {
	*gateway

	mu        sync.Mutex
	disrupted time.Time // when the latest disruption here ended
	down      bool
	ownEnds   int
	peak      int
}

// watch ends the process when it exceeds its memory, as the platform does, and starts it
// again after a short delay.
func (m *machine) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		m.mu.Lock()
		down := m.down
		m.mu.Unlock()
		if down {
			continue
		}
		mb := resident(m.command.Process.Pid)
		m.mu.Lock()
		m.peak = max(m.peak, mb)
		if mb <= memoryMb || m.down {
			m.mu.Unlock()
			continue
		}
		m.down = true
		own := time.Since(m.disrupted) > time.Second
		if own {
			m.ownEnds++
		}
		m.mu.Unlock()
		m.run.record("the platform ends %s: it uses %d MB of %d; an end of its own: %t", m.name, mb, memoryMb, own)
		_ = m.command.Process.Kill()
		<-m.ended
		time.Sleep(500 * time.Millisecond)
		m.start()
		m.mu.Lock()
		m.down = false
		m.mu.Unlock()
	}
}

// kill kills the process and starts it again after a time.
func (m *machine) kill(for_ time.Duration) {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return
	}
	m.down = true
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(for_)
	m.start()
	m.mu.Lock()
	m.down, m.disrupted = false, time.Now()
	m.mu.Unlock()
}

// memory: three of five machines are killed at once, three times, while clients with slow
// links upload photos. The others have to stay within their memory.
func memory(r *run) {
	ip := r.ip()
	for i := range 8 {
		b := newBackend(r, ip, fmt.Sprintf("i-upload%d", i), "student-upload", []string{"zone-a", "zone-b", "zone-c", "zone-d"}[i%4])
		b.quiet = true
	}
	r.configure(7, 262144, []map[string]any{
		route("r-upload", "/upload/", "non_idempotent", "student-upload", nil),
	}, "student-upload")
	r.start("zone-a", "zone-a", "zone-b", "zone-c", "zone-d")
	r.awaitReady()
	stop := make(chan struct{})
	var machines []*machine
	for _, g := range r.hosts {
		m := &machine{gateway: g}
		machines = append(machines, m)
		go m.watch(stop)
	}
	var sent, served, refused, broken atomic.Int64
	photo := strings.Repeat("p", photoBytes)
	began := time.Now()
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(i) * time.Second / photoRate))):
			}
			go func() {
				sent.Add(1)
				for try := range 2 { // one retry, on a new connection at another machine
					host := r.hosts[rand.IntN(len(r.hosts))]
					status, retry := photoOne(host, fmt.Sprintf("%08x%08x", i, try), photo)
					switch {
					case status == 200:
						served.Add(1)
						return
					case status != 0:
						refused.Add(1)
					}
					if !retry {
						return
					}
				}
				broken.Add(1)
			}()
		}
	}()
	const length = 75
	for second := 1; second <= length; second++ {
		time.Sleep(time.Until(began.Add(time.Duration(second) * time.Second)))
		if r.trouble && (second == 15 || second == 35 || second == 55) {
			r.record("three of five machines are killed for 2 s")
			for _, m := range machines[2:] {
				go m.kill(2 * time.Second)
			}
		}
		if second%5 == 0 {
			var mb []string
			for _, m := range machines {
				mb = append(mb, strconv.Itoa(resident(m.command.Process.Pid)))
			}
			r.record("%d sent, %d served, %d refused, %d given up; memory in MB: %s", sent.Load(), served.Load(), refused.Load(), broken.Load(), strings.Join(mb, " "))
		}
	}
	close(stop)
	count := 0
	for _, m := range machines {
		m.mu.Lock()
		r.record("%s: %d ends of its own, at most %d MB", m.name, m.ownEnds, m.peak)
		if m.ownEnds >= 3 {
			count++
		}
		m.mu.Unlock()
	}
	if count >= 2 { // a tenth of the machines, two at least
		r.breaks("Fault: processes ended by themselves three times on %d of %d machines, with no disruption there", count, len(machines))
	}
}

// photoOne sends one photo over a slow link. It returns the status, or zero if there is no
// answer, and whether the client may try again.
func photoOne(host *gateway, id, photo string) (int, bool) {
	c, err := dial(host.front)
	if err != nil {
		return 0, true
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /upload/photo HTTP/1.1\r\nHost: %s\r\n"+prefix+"Request-Id: %s\r\n"+prefix+"Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", domain, id, len(photo)); err != nil {
		return 0, true
	}
	for step := range steps {
		if _, err := io.WriteString(c, photo[len(photo)*step/steps:len(photo)*(step+1)/steps]); err != nil {
			return 0, true // the request was not read whole
		}
		time.Sleep(photoTime / steps)
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.StatusCode == 503 || resp.StatusCode == 429
}
