package cmd

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/soak"
)

type soakCmd struct {
	cmd  *cobra.Command
	opts soakOptions
}

type soakOptions struct {
	seed          uint64
	runs          int
	hosts         int
	faultDuration time.Duration
	hostLogs      string
	program       string
}

func newSoakCmd() *soakCmd {
	c := &soakCmd{}
	c.cmd = &cobra.Command{
		Use:   "soak",
		Short: "Runs hosts as processes, injects faults and checks the hosts' guarantees",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	flags := c.cmd.Flags()
	flags.Uint64Var(&c.opts.seed, "seed", 0, "seed of the first run; 0 picks a random seed")
	flags.IntVar(&c.opts.runs, "seeds", 1, "number of runs, with consecutive seeds")
	flags.IntVar(&c.opts.hosts, "hosts", 5, "number of hosts in each run")
	flags.DurationVar(&c.opts.faultDuration, "length", 15*time.Second, "how long each run injects faults")
	flags.StringVar(&c.opts.program, "program", "", "path of the gateway program; empty means the one in the directory of this program")
	flags.StringVar(&c.opts.hostLogs, "logs", "", "file for the logs of the hosts; empty discards them")
	return c
}

func (c *soakCmd) run(cmd *cobra.Command) error {
	program, err := c.findProgram()
	if err != nil {
		return err
	}
	logs, closeLogs, err := c.openLogs()
	if err != nil {
		return err
	}
	defer closeLogs()
	logger := &log.Logger{Handler: logfmt.New(cmd.ErrOrStderr()), Level: log.InfoLevel}
	first := c.opts.seed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	var failures error
	for i := range c.opts.runs {
		run := &soak.Soak{
			Program: program, Seed: first + uint64(i), FaultDuration: c.opts.faultDuration, Hosts: c.opts.hosts, HostLogs: logs, Log: logger,
		}
		failures = errors.CombineErrors(failures, run.Run(cmd.Context()))
	}
	return failures
}

func (c *soakCmd) findProgram() (string, error) {
	if c.opts.program != "" {
		return c.opts.program, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "finding the path of this program")
	}
	path := filepath.Join(filepath.Dir(executable), "gateway")
	_, err = os.Stat(path)
	return path, magnoliashore.Step(err, "find the gateway program", path)
}

func (c *soakCmd) openLogs() (io.Writer, func(), error) {
	if c.opts.hostLogs == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.Create(c.opts.hostLogs)
	if err != nil {
		return nil, nil, magnoliashore.Step(err, "open log", c.opts.hostLogs)
	}
	return file, func() { _ = file.Close() }, nil
}
