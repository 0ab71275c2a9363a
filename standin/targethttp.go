package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

const maxRequest = 1 << 20 // bytes of a request's body

// postRun handles one request from its arrival to its reply.
func (t *Target) postRun(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	opened := connOf(r.Context())
	opened.busy.Store(true)
	defer opened.busy.Store(false)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequest)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := parseAsk(r.Header, arrived)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.payConnection(r.Context(), opened) {
		return
	}
	j := newJob(a)
	reason, ok := t.core.admit(j, opened.generation, time.Now())
	if !ok {
		panic(http.ErrAbortHandler) // net/http cuts the connection
	}
	if reason != "" {
		t.refuse(w, j, reason)
		return
	}
	t.await(r.Context(), w, j)
}

// payConnection spends the cost of a new connection; it returns false if the
// client is gone.
func (t *Target) payConnection(ctx context.Context, opened *conn) bool {
	if opened.used {
		return true
	}
	opened.used = true
	return sleep(ctx, t.cfg.ConnDelay)
}

// await waits for a slot and then for the end of the job.
func (t *Target) await(ctx context.Context, w http.ResponseWriter, j *job) {
	var expired <-chan time.Time
	if !j.ask.deadline.IsZero() {
		timer := time.NewTimer(time.Until(j.ask.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-j.ready:
		t.work(ctx, w, j)
	case <-j.killed:
		t.killed(w, j)
	case <-ctx.Done():
		t.end(j, ResultCancelled)
	case <-expired:
		t.expire(ctx, w, j)
	}
}

// expire refuses a job that waited past its deadline, unless it has a slot
// by now.
func (t *Target) expire(ctx context.Context, w http.ResponseWriter, j *job) {
	if t.core.withdraw(j) {
		t.refuse(w, j, refusedDeadline)
		return
	}
	select {
	case <-j.ready:
		t.work(ctx, w, j)
	case <-j.killed:
		t.killed(w, j)
	}
}

// work runs a job that has a slot, or refuses one that waited in vain.
func (t *Target) work(ctx context.Context, w http.ResponseWriter, j *job) {
	if j.refused != "" {
		t.refuse(w, j, j.refused)
		return
	}
	var done <-chan time.Time
	if j.fault != FaultMute {
		timer := time.NewTimer(j.takes)
		defer timer.Stop()
		done = timer.C
	}
	select {
	case <-j.killed:
		t.killed(w, j)
	case <-ctx.Done():
		t.end(j, ResultCancelled)
	case <-done:
		t.complete(w, j)
	}
}

func (t *Target) complete(w http.ResponseWriter, j *job) {
	if !t.core.finish(j, true, time.Now()) {
		t.killed(w, j)
		return
	}
	t.record(j, ResultDone, "")
	t.reply(w, j)
}

// end frees the slot of a job that has no reply.
func (t *Target) end(j *job, result Result) {
	if !t.core.finish(j, false, time.Now()) {
		result = t.lost(j)
	}
	t.record(j, result, "")
}

// killed ends a job that the target lost: with a status after a fall, and
// with a cut connection after a restart.
func (t *Target) killed(w http.ResponseWriter, j *job) {
	t.record(j, t.lost(j), "")
	if j.kill == killedRestart {
		panic(http.ErrAbortHandler) // net/http cuts the connection
	}
	writeFall(w)
}

// writeFall sends the whole reply before it returns, since the connection is
// cut as soon as it counts as idle.
func writeFall(w http.ResponseWriter) {
	const text = "the target fell over\n"
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// lost returns the result of a job that the target lost. The job that made
// the target fall over cuts the idle connections.
func (t *Target) lost(j *job) Result {
	<-j.killed
	if !j.overrun {
		return ResultFailed
	}
	t.conns.cut(false)
	return ResultOverrun
}

func (t *Target) refuse(w http.ResponseWriter, j *job, reason string) {
	t.record(j, ResultRefused, reason)
	status := http.StatusServiceUnavailable
	if reason == refusedSnapshot {
		status = http.StatusGone
	}
	wait := t.core.retryAfter().Milliseconds()
	w.Header().Set(headerRefused, reason)
	w.Header().Set(headerWait, strconv.FormatInt(wait, 10))
	w.WriteHeader(status)
}

func (t *Target) record(j *job, result Result, reason string) {
	t.ledger.add(newEntry(t.cfg.ID, j, result, reason, time.Now()))
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
