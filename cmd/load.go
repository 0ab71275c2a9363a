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
	cmd        *cobra.Command
	output     outputOption
	plotDir    string
	traceCount int
}

func newLoadCmd() *loadCmd {
	c := &loadCmd{}
	c.cmd = &cobra.Command{
		Use:   "load EXPERIMENT.yaml",
		Short: "Runs a load experiment with scheduled queries and faults, and compares policies",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	c.output.add(c.cmd)
	c.cmd.Flags().StringVar(&c.plotDir, "plot", "", "directory for PNG plots; empty means none")
	c.cmd.Flags().IntVar(&c.traceCount, "trace", 0, "number of slowest queries to trace for each policy and group, on standard error")
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
		return errors.New("the report counts no queries")
	}
	if err := errors.Join(c.writePlots(report), report.WriteTrace(cmd.ErrOrStderr(), c.traceCount)); err != nil {
		return err
	}
	if asJSON {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}

// writePlots writes the plots if a directory is given.
func (c *loadCmd) writePlots(report load.Report) error {
	if c.plotDir == "" {
		return nil
	}
	return report.Plot(c.plotDir)
}
