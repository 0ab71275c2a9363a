// Command standin runs test doubles of the platform and the targets, and sends
// admin commands to them. It is a tool for tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
