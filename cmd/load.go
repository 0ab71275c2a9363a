package cmd

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/load"
	"github.com/magnoliashore/magnoliashore/timer"
)

type loadCmd struct {
	cmd    *cobra.Command
	output outputOption
	plot   string
	trace  int
}

func newLoadCmd() *loadCmd {
	c := &loadCmd{}
	c.cmd = &cobra.Command{
		Use:   "load EXPERIMENT.yaml",
		Short: "run an experiment: queries on schedule, faults on a time line, policies side by side",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	c.output.add(c.cmd)
	c.cmd.Flags().StringVar(&c.plot, "plot", "", "directory for PNG plots; empty means none")
	c.cmd.Flags().IntVar(&c.trace, "trace", 0, "slowest queries of each policy and group to trace on the standard error output")
	return c
}

func (c *loadCmd) run(cmd *cobra.Command, args []string) error {
	asJSON, err := c.output.json()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	experiment, err := load.Decode(data)
	if err != nil {
		return magnoliashore.Step(err, "read file", args[0])
	}
	runner := &load.Runner{Experiment: experiment, Progress: cmd.ErrOrStderr(), Clock: &timer.Service{}}
	report, err := runner.Run(cmd.Context())
	if err != nil {
		return err
	}
	if report.Queries() == 0 {
		return errors.New("no query was counted")
	}
	if err := errors.Join(c.draw(report), report.WriteTrace(cmd.ErrOrStderr(), c.trace)); err != nil {
		return err
	}
	if asJSON {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}

// draw writes the plots if a directory is given.
func (c *loadCmd) draw(report load.Report) error {
	if c.plot == "" {
		return nil
	}
	return report.Plot(c.plot)
}
