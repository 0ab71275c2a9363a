package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

const maxBodyBytes = 1 << 20 // limit for a request body

// postRun handles one sub-request.
func (t *Target) postRun(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	opened := connFrom(r.Context())
	opened.busy.Store(true)
	defer opened.busy.Store(false)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := parseSubRequest(r.Header, arrived)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.delayFirstReply(r.Context(), opened) {
		return
	}
	j := newJob(request)
	reason, ok := t.state.admit(j, opened.generation, time.Now())
	if !ok {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	if reason != "" {
		t.refuse(w, j, reason)
		return
	}
	t.waitForSlot(r.Context(), w, j)
}

// delayFirstReply waits for the ConnDelay of a new connection. It returns false
// if the client disconnects.
func (t *Target) delayFirstReply(ctx context.Context, opened *conn) bool {
	if opened.delayed {
		return true
	}
	opened.delayed = true
	return sleep(ctx, t.cfg.ConnDelay)
}

// waitForSlot waits until the job gets a slot and then runs it.
func (t *Target) waitForSlot(ctx context.Context, w http.ResponseWriter, j *job) {
	var expired <-chan time.Time
	if !j.request.deadline.IsZero() {
		timer := time.NewTimer(time.Until(j.request.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-j.ready:
		t.runJob(ctx, w, j)
	case <-j.killed:
		t.failKilled(w, j)
	case <-ctx.Done():
		t.finishWithoutReply(j, ResultCancelled)
	case <-expired:
		t.expire(ctx, w, j)
	}
}

// expire refuses a job that waited past its deadline, unless it got a slot or was
// killed in the meantime.
func (t *Target) expire(ctx context.Context, w http.ResponseWriter, j *job) {
	if t.state.cancelWaiting(j) {
		t.refuse(w, j, refusedDeadline)
		return
	}
	select {
	case <-j.ready:
		t.runJob(ctx, w, j)
	case <-j.killed:
		t.failKilled(w, j)
	}
}

// runJob runs a job that has a slot, or refuses one that was refused after
// waiting.
func (t *Target) runJob(ctx context.Context, w http.ResponseWriter, j *job) {
	if j.refused != "" {
		t.refuse(w, j, j.refused)
		return
	}
	var done <-chan time.Time
	if j.fault != FaultMute {
		timer := time.NewTimer(j.serviceTime)
		defer timer.Stop()
		done = timer.C
	}
	select {
	case <-j.killed:
		t.failKilled(w, j)
	case <-ctx.Done():
		t.finishWithoutReply(j, ResultCancelled)
	case <-done:
		t.complete(w, j)
	}
}

func (t *Target) complete(w http.ResponseWriter, j *job) {
	if !t.state.finish(j, true, time.Now()) {
		t.failKilled(w, j)
		return
	}
	t.record(j, ResultDone, "")
	t.writeReply(w, j)
}

// finishWithoutReply frees the slot of a job and records its result.
func (t *Target) finishWithoutReply(j *job, result Result) {
	if !t.state.finish(j, false, time.Now()) {
		result = t.killResult(j)
	}
	t.record(j, result, "")
}

// failKilled records a killed job and answers with status 500 after a crash, or
// closes the connection after a restart.
func (t *Target) failKilled(w http.ResponseWriter, j *job) {
	t.record(j, t.killResult(j), "")
	if j.killReason == killRestart {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	writeCrash(w)
}

// writeCrash flushes the whole reply before it returns, because the connection
// may be closed as soon as it is idle.
func writeCrash(w http.ResponseWriter) {
	const text = "the target fell over\n"
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// killResult returns the result of a killed job. For the job that crashed the
// target, it also closes the idle connections.
func (t *Target) killResult(j *job) Result {
	<-j.killed
	if !j.overrun {
		return ResultFailed
	}
	t.conns.closeConns(false)
	return ResultOverrun
}

func (t *Target) refuse(w http.ResponseWriter, j *job, reason string) {
	t.record(j, ResultRefused, reason)
	status := http.StatusServiceUnavailable
	if reason == refusedSnapshot {
		status = http.StatusGone
	}
	wait := t.state.retryAfter().Milliseconds()
	w.Header().Set(headerRefused, reason)
	w.Header().Set(headerWait, strconv.FormatInt(wait, 10))
	w.WriteHeader(status)
}

func (t *Target) record(j *job, result Result, reason string) {
	t.ledger.add(newEntry(t.cfg.ID, j, result, reason, time.Now()))
}

// sleep waits for d; it returns false if ctx ends first.
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
