package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Why a job was killed before it completed.
const (
	killCrash   = "fell"    // the target crashed from overload
	killRestart = "restart" // the process was replaced
)

// job is one request inside a target. targetState.mu guards its fields until
// ready or killed is closed.
type job struct {
	request         subRequest
	ready           chan struct{} // closed when the job gets a slot or is refused
	killed          chan struct{} // closed when the target process crashes or restarts
	refused         string        // reason for a refusal after waiting
	killReason      string        // killCrash or killRestart
	begun           bool
	cold            bool // the target was cold when the job started
	coldAtEnd       bool // the target was cold when the job completed
	coldReported    bool
	overrun         bool // the job exceeded the cold limit and crashed the target
	running         int  // number of running jobs at the start, including this one
	started         time.Time
	serviceTime     time.Duration
	incarnation     string
	previousRequest uint64 // request number of the job that started before this one
	fault           string
}

func newJob(request subRequest) *job {
	return &job{request: request, ready: make(chan struct{}), killed: make(chan struct{})}
}

// targetState holds the slots, the cold state and the snapshots of a target.
type targetState struct {
	cfg   TargetConfig
	nonce string

	mu              sync.Mutex
	random          *rand.Rand
	generation      uint64 // incremented when the process is replaced
	cold            bool
	coldReported    bool // a reply or a closed connection has revealed the cold state
	completedCold   int  // jobs completed since the target turned cold
	running         map[*job]struct{}
	coldRunning     int // running jobs that started cold
	waiting         []*job
	draining        bool
	snapshots       []uint64
	fault           string
	lastRequest     uint64
	peakColdRunning int // highest value of coldRunning
}

func newTargetState(cfg TargetConfig) *targetState {
	return &targetState{
		cfg:          cfg,
		nonce:        strconv.FormatInt(time.Now().UnixNano(), 36),
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		generation:   1,
		cold:         cfg.WarmAfter > 0,
		coldReported: true,
		running:      make(map[*job]struct{}),
		snapshots:    cfg.Snapshots,
	}
}

// admit starts the job if a slot is free, queues it, or returns the reason for
// a refusal. It returns false if the connection belongs to a process that has
// ended.
func (s *targetState) admit(j *job, generation uint64, now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.generation {
		return "", false
	}
	j.incarnation = s.incarnationName()
	j.cold = s.cold
	j.coldReported = s.coldReported
	j.running = len(s.running)
	j.started = now
	if reason := s.refusal(j, now); reason != "" {
		return reason, true
	}
	if len(s.running) < s.cfg.Slots {
		s.start(j)
		return "", true
	}
	if len(s.waiting) >= s.cfg.MaxWaiting {
		return refusedShed, true
	}
	s.waiting = append(s.waiting, j)
	return "", true
}

func (s *targetState) refusal(j *job, now time.Time) string {
	if s.draining {
		return refusedDrain
	}
	if !s.serves(j.request) {
		return refusedSnapshot
	}
	if j.request.expired(now) {
		return refusedDeadline
	}
	return ""
}

func (s *targetState) serves(request subRequest) bool {
	if !slices.Contains(s.snapshots, request.snapshot) {
		return false
	}
	return len(s.cfg.Partitions) == 0 || slices.Contains(s.cfg.Partitions, request.partition)
}

// start gives the job a slot. A cold target that runs more jobs than its cold
// limit crashes.
func (s *targetState) start(j *job) {
	s.running[j] = struct{}{}
	j.begun = true
	j.cold = s.cold
	j.coldReported = s.coldReported
	j.started = time.Now() // taken under the lock that also guards fault
	j.running = len(s.running)
	j.serviceTime = s.drawServiceTime()
	j.fault = s.fault
	j.previousRequest = s.lastRequest
	s.lastRequest = j.request.number
	close(j.ready)
	if !s.cold {
		return
	}
	s.coldRunning++
	s.peakColdRunning = max(s.peakColdRunning, s.coldRunning)
	if s.coldRunning > s.cfg.ColdSlots {
		j.overrun = true
		s.replaceProcess(killCrash)
	}
}

// finish frees the slot of a job and starts waiting jobs, or removes a job that
// still waits. It returns false if the job was killed.
func (s *targetState) finish(j *job, completed bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[j]; !ok {
		return s.removeWaiting(j)
	}
	delete(s.running, j)
	if j.cold {
		s.coldRunning--
	}
	if completed {
		s.recordCompletion()
		j.coldAtEnd = s.cold
	}
	s.startWaiting(now)
	return true
}

// cancelWaiting removes a job from the queue; it returns false if the job is
// not waiting.
func (s *targetState) cancelWaiting(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeWaiting(j)
}

func (s *targetState) removeWaiting(j *job) bool {
	i := slices.Index(s.waiting, j)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// recordCompletion counts a completed job. The target becomes warm after
// WarmAfter completed jobs.
func (s *targetState) recordCompletion() {
	if !s.cold {
		return
	}
	s.coldReported = true // the reply reports the cold state
	s.completedCold++
	if s.completedCold >= s.cfg.WarmAfter {
		s.cold = false
	}
}

// startWaiting starts waiting jobs while slots are free.
func (s *targetState) startWaiting(now time.Time) {
	for len(s.waiting) > 0 && len(s.running) < s.cfg.Slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if reason := s.refusal(j, now); reason != "" {
			j.refused = reason
			close(j.ready)
			continue
		}
		s.start(j)
	}
}

// replaceProcess kills all jobs of the current process and starts a new one,
// cold after a crash or if the target has a warm-up.
func (s *targetState) replaceProcess(reason string) {
	for j := range s.running {
		j.killReason = reason
		close(j.killed)
	}
	for _, j := range s.waiting {
		j.killReason = reason
		close(j.killed)
	}
	s.running = make(map[*job]struct{})
	s.waiting = nil
	s.coldRunning = 0
	s.generation++
	s.completedCold = 0
	s.cold = s.cfg.WarmAfter > 0 || reason == killCrash
	s.coldReported = true
}

func (s *targetState) incarnationName() string {
	return fmt.Sprintf("%s-%s-%d", s.cfg.ID, s.nonce, s.generation)
}
