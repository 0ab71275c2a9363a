// Command magnoliashore runs an entry host of the query tier and the tools
// around it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliashore/magnoliashore/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
