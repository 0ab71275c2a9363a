// Command harness runs the cases of the review: hosts as separate processes on loopback
// addresses, against small stand-ins for the store, the back ends and the clients.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The stand-ins are the other side of the connections: their sockets need no options.
var (
	listenTCP = net.Listen
	dialTCP   = net.DialTimeout
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var began = time.Now()

// stamp returns the seconds since the start of the case.
func stamp(t time.Time) string { return fmt.Sprintf("%8.3f s", t.Sub(began).Seconds()) }

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *record) event(format string, args ...any) {
	line := stamp(time.Now()) + "  " + fmt.Sprintf(format, args...)
	r.add("%s", line)
	fmt.Println(line)
}

func (r *record) save(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	root, file := os.Args[2], os.Args[3]
	cases := map[string]func(root string, rec *record, trouble bool) int{"lost": lost, "crowd": crowd, "limits": limits}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannotRun)
	}
	rec := &record{}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		quitAll()
		os.Exit(cannotRun)
	}()
	code := run(root, rec, trouble)
	if err := rec.save(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	os.Exit(code)
}
