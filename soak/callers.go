package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const (
	callers  = 6
	think    = 30 * time.Millisecond // between two requests of a caller
	patience = 2500 * time.Millisecond
)

// callers ask hosts until ctx ends. They keep connections open until the host
// is gone.
func (r *Soak) call(ctx context.Context) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			paths := []string{standin.PathShards, standin.PathOne, standin.PathOnce}
			for n := i; ctx.Err() == nil; n++ {
				p := r.site.Processes[n%len(r.site.Processes)]
				r.askOne(ctx, &p.Host, paths[(n/len(r.site.Processes))%len(paths)])
				clock.Sleep(think)
			}
		})
	}
	all.Wait()
}

// askOne makes one request, checks its answer, and reports whether it was a
// success.
func (r *Soak) askOne(ctx context.Context, h *standin.Host, path string) bool {
	r.mu.Lock()
	r.number++
	id := fmt.Sprintf("%x%08x", r.Seed%16, r.number)
	body := ""
	if path == standin.PathOnce {
		body = "run " + id
		r.once[id] = body
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	uri := path + id + "?q=%2F"
	answer, err := h.Send(ctx, id, uri, body)
	r.mu.Lock()
	r.answers[answer.Status]++
	if err == nil && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests) {
		r.refused[id] = true
	}
	r.mu.Unlock()
	if err != nil || answer.Status != http.StatusOK {
		return false
	}
	if path == standin.PathShards {
		if err := r.site.Check(id, uri, answer); err != nil {
			r.broken("%v", err)
		}
	}
	return true
}
