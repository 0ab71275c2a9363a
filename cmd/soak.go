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
	seed   uint64
	seeds  int
	hosts  int
	length time.Duration
	logs   string
	path   string
}

func newSoakCmd() *soakCmd {
	c := &soakCmd{}
	c.cmd = &cobra.Command{
		Use:   "soak",
		Short: "Runs hosts as processes under faults and checks their promises",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	flags := c.cmd.Flags()
	flags.Uint64Var(&c.opts.seed, "seed", 0, "seed of the first run; 0 draws one")
	flags.IntVar(&c.opts.seeds, "seeds", 1, "how many runs, with seeds in a row")
	flags.IntVar(&c.opts.hosts, "hosts", 5, "hosts of a run")
	flags.DurationVar(&c.opts.length, "length", 15*time.Second, "length of the faults of a run")
	flags.StringVar(&c.opts.path, "program", "", "path of the gateway program; empty for the one beside this program")
	flags.StringVar(&c.opts.logs, "logs", "", "file for the logs of the hosts; empty for none")
	return c
}

func (c *soakCmd) run(cmd *cobra.Command) error {
	program, err := c.program()
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
	var failed error
	for i := range c.opts.seeds {
		run := &soak.Soak{
			Program: program, Seed: first + uint64(i), Length: c.opts.length, Hosts: c.opts.hosts, Logs: logs, Log: logger,
		}
		failed = errors.CombineErrors(failed, run.Run(cmd.Context()))
	}
	return failed
}

func (c *soakCmd) program() (string, error) {
	if c.opts.path != "" {
		return c.opts.path, nil
	}
	own, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "finding the program")
	}
	path := filepath.Join(filepath.Dir(own), "gateway")
	_, err = os.Stat(path)
	return path, magnoliashore.Step(err, "find the gateway program", path)
}

func (c *soakCmd) openLogs() (io.Writer, func(), error) {
	if c.opts.logs == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.Create(c.opts.logs)
	if err != nil {
		return nil, nil, magnoliashore.Step(err, "open log", c.opts.logs)
	}
	return file, func() { _ = file.Close() }, nil
}
