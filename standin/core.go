package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// How a job ends before it is done.
const (
	killedFell    = "fell"    // the target fell over
	killedRestart = "restart" // the process was replaced
)

// job is one request inside the target. The core's lock guards its fields
// until ready or killed is closed.
type job struct {
	ask     ask
	ready   chan struct{} // closed when the job has a slot or is refused
	killed  chan struct{} // closed when the target loses it
	refused string        // why it was refused after it waited
	kill    string        // why it was killed
	begun   bool
	cold    bool // the target was cold when the job started
	left    bool // the target was cold when the job was done
	told    bool
	overrun bool
	running int // jobs running when it started, itself included
	started time.Time
	takes   time.Duration
	process string
	last    uint64 // request number of the job before
	fault   string
}

func newJob(a ask) *job {
	return &job{ask: a, ready: make(chan struct{}), killed: make(chan struct{})}
}

// core keeps the slots, the cold state and the snapshots of a target.
type core struct {
	cfg   TargetConfig
	nonce string

	mu          sync.Mutex
	random      *rand.Rand
	generation  uint64
	cold        bool
	told        bool // a reply or a cut has shown that the target is cold
	completed   int  // since it turned cold
	running     map[*job]struct{}
	coldRunning int
	waiting     []*job
	drain       bool
	snapshots   []uint64
	fault       string
	last        uint64
	peak        int
}

func newCore(cfg TargetConfig) *core {
	return &core{
		cfg:        cfg,
		nonce:      strconv.FormatInt(time.Now().UnixNano(), 36),
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		generation: 1,
		cold:       cfg.WarmAfter > 0,
		told:       true,
		running:    make(map[*job]struct{}),
		snapshots:  cfg.Snapshots,
	}
}

// admit gives the job a slot, queues it, or returns why it is refused. It
// returns false if the connection belongs to a process that is gone.
func (c *core) admit(j *job, generation uint64, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation != c.generation {
		return "", false
	}
	j.process = c.processName()
	j.cold = c.cold
	j.told = c.told
	j.running = len(c.running)
	j.started = now
	if reason := c.refusal(j, now); reason != "" {
		return reason, true
	}
	if len(c.running) < c.cfg.Slots {
		c.start(j)
		return "", true
	}
	if len(c.waiting) >= c.cfg.MaxWaiting {
		return refusedShed, true
	}
	c.waiting = append(c.waiting, j)
	return "", true
}

func (c *core) refusal(j *job, now time.Time) string {
	if c.drain {
		return refusedDrain
	}
	if !c.serves(j.ask) {
		return refusedSnapshot
	}
	if j.ask.late(now) {
		return refusedDeadline
	}
	return ""
}

func (c *core) serves(a ask) bool {
	if !slices.Contains(c.snapshots, a.snapshot) {
		return false
	}
	return len(c.cfg.Partitions) == 0 || slices.Contains(c.cfg.Partitions, a.partition)
}

// start runs the job; a cold target with too many jobs falls over.
func (c *core) start(j *job) {
	c.running[j] = struct{}{}
	j.begun = true
	j.cold = c.cold
	j.told = c.told
	j.started = time.Now() // under the lock that guards the fault too
	j.running = len(c.running)
	j.takes = c.draw()
	j.fault = c.fault
	j.last = c.last
	c.last = j.ask.request
	close(j.ready)
	if !c.cold {
		return
	}
	c.coldRunning++
	c.peak = max(c.peak, c.coldRunning)
	if c.coldRunning > c.cfg.ColdSlots {
		j.overrun = true
		c.lose(killedFell)
	}
}

// finish gives the slot of a job back and starts those that wait. It returns
// false if the job was killed.
func (c *core) finish(j *job, done bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.running[j]; !ok {
		return c.remove(j)
	}
	delete(c.running, j)
	if j.cold {
		c.coldRunning--
	}
	if done {
		c.count()
		j.left = c.cold
	}
	c.fill(now)
	return true
}

// withdraw takes out a job that still waits; false means that it doesn't.
func (c *core) withdraw(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remove(j)
}

func (c *core) remove(j *job) bool {
	i := slices.Index(c.waiting, j)
	if i < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return true
}

// count takes a completed job in; enough of them make the target warm.
func (c *core) count() {
	if !c.cold {
		return
	}
	c.told = true // the reply says so
	c.completed++
	if c.completed >= c.cfg.WarmAfter {
		c.cold = false
	}
}

// fill starts waiting jobs while there are slots.
func (c *core) fill(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.cfg.Slots {
		j := c.waiting[0]
		c.waiting = c.waiting[1:]
		if reason := c.refusal(j, now); reason != "" {
			j.refused = reason
			close(j.ready)
			continue
		}
		c.start(j)
	}
}

// lose ends the current process: all its jobs are killed and a new one starts
// cold.
func (c *core) lose(kill string) {
	for j := range c.running {
		j.kill = kill
		close(j.killed)
	}
	for _, j := range c.waiting {
		j.kill = kill
		close(j.killed)
	}
	c.running = make(map[*job]struct{})
	c.waiting = nil
	c.coldRunning = 0
	c.generation++
	c.completed = 0
	c.cold = c.cfg.WarmAfter > 0 || kill == killedFell
	c.told = true
}

func (c *core) processName() string {
	return fmt.Sprintf("%s-%s-%d", c.cfg.ID, c.nonce, c.generation)
}
