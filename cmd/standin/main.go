// Command standin runs stand-ins for the platform and the targets, and gives
// commands to them. It is a tool for tests and trials.
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
