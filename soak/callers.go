package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const (
	numCallers     = 6
	thinkTime      = 30 * time.Millisecond // pause between two requests of a caller
	requestTimeout = 2500 * time.Millisecond
)

// runCallers sends requests to hosts until ctx ends. Each connection is reused
// until its host is gone.
func (r *Soak) runCallers(ctx context.Context, hosts []*standin.Process) {
	var wg sync.WaitGroup
	for i := range numCallers {
		wg.Go(func() {
			paths := []string{standin.PathShards, standin.PathOne, standin.PathOnce}
			for n := i; ctx.Err() == nil; n++ {
				p := hosts[n%len(hosts)]
				r.sendRequest(ctx, &p.Host, paths[(n/len(hosts))%len(paths)])
				clock.Sleep(thinkTime)
			}
		})
	}
	wg.Wait()
}

// newRequestID returns the ID of the next request.
func (r *Soak) newRequestID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequest++
	return fmt.Sprintf("%x%08x", r.Seed%16, r.lastRequest)
}

// sendRequest sends one request, checks the answer, and reports whether the
// request succeeded.
func (r *Soak) sendRequest(ctx context.Context, h *standin.Host, path string) bool {
	id, body := r.newRequestID(), ""
	if path == standin.PathOnce {
		body = "run " + id
		r.mu.Lock()
		r.atMostOnce[id] = body
		r.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	uri := path + id + "?q=%2F"
	answer, err := h.Send(ctx, id, uri, body)
	r.mu.Lock()
	r.answerCounts[answer.Status]++
	if err == nil && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests) {
		r.notRun[id] = true
	}
	r.mu.Unlock()
	if err == nil {
		r.checkRefusal(id, answer)
	}
	if err != nil || answer.Status != http.StatusOK {
		return false
	}
	if path == standin.PathShards {
		if err := r.site.Check(id, uri, answer); err != nil {
			r.recordViolation("%v", err)
		}
	}
	return true
}

// checkRefusal checks that a request which ends no target is not refused as one that
// does: only the refusal of those asks callers to stay away for longer.
func (r *Soak) checkRefusal(id string, answer standin.Answer) {
	after, err := strconv.ParseFloat(answer.RetryAfter, 64)
	if err == nil && after > longestRetryAfter.Seconds() {
		r.recordViolation("request %s, which ends no target, is refused for %.1f s", id, after)
	}
}

// longestRetryAfter is the longest time after which a request that is refused for
// other reasons may come again, at the timeout of these callers.
const longestRetryAfter = time.Second
