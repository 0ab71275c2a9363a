package logs_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/logs"
	"github.com/magnoliashore/magnoliashore/timer"
)

// TestNeverBlocks checks that the logger drops lines instead of blocking when
// its output is blocked.
func TestNeverBlocks(t *testing.T) {
	t.Parallel()
	_, blocked := io.Pipe()
	h := logs.New(blocked, &timer.Service{})
	dropped := 0
	h.Dropped = func() { dropped++ }
	go h.Run(t.Context())
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			logger.Warn("flood")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("got a blocked logger, want one that drops lines")
	}
	if dropped < 4000 {
		t.Errorf("got %d dropped lines of 5000, want at least 4000", dropped)
	}
}

// TestReportsDroppedLines checks that the rate limit bounds a flood of info
// lines, and that the next line has the number of dropped ones.
func TestReportsDroppedLines(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	h := logs.New(&out, &timer.Service{})
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 1000 {
		logger.Info("flood")
	}
	logger.Error("trouble")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h.Run(ctx)
	if got := strings.Count(out.String(), "message=flood"); got < 300 || got > 450 {
		t.Errorf("got %d lines of a flood, want about 400, the limit per second", got)
	}
	if !strings.Contains(out.String(), "message=trouble") || !strings.Contains(out.String(), "dropped=") {
		t.Errorf("got no error line with the number of dropped lines, want one after the flood")
	}
}
