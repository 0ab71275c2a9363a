package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/explain"
)

type explainCmd struct {
	cmd      *cobra.Command
	summary  bool
	interval time.Duration
}

// defaultInterval is the time that one row of a summary covers.
const defaultInterval = 2 * time.Second

func newExplainCmd() *explainCmd {
	c := &explainCmd{}
	c.cmd = &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Shows the log lines of several hosts that concern one request, or a summary of all",
		Long: "Shows the log lines of one request from several hosts, and the latest earlier\n" +
			"lines of those hosts about its targets, other hosts and the store. Reads the\n" +
			"standard input if no log is named.\n\n" +
			"With --summary, takes no ID and counts the outcomes of all requests: by time,\n" +
			"by reason and by missing shard.",
		Args: func(cmd *cobra.Command, args []string) error {
			if c.summary {
				return nil
			}
			return cobra.MinimumNArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if c.summary {
				return c.summarize(cmd, args)
			}
			return c.run(cmd, args[0], args[1:])
		},
	}
	c.cmd.Flags().BoolVar(&c.summary, "summary", false, "count the outcomes of all requests")
	c.cmd.Flags().DurationVar(&c.interval, "interval", defaultInterval, "time that one row of the summary covers")
	return c
}

func (c *explainCmd) summarize(cmd *cobra.Command, paths []string) error {
	if c.interval <= 0 {
		return errors.Newf("interval is %s, want more than 0", c.interval)
	}
	lines, err := readLogs(cmd.InOrStdin(), paths)
	if err != nil {
		return err
	}
	summary := explain.Summarize(lines, c.interval)
	if summary.Empty() {
		return errors.Newf("none of the %d log lines is about a request", len(lines))
	}
	return errors.Wrap(summary.Write(cmd.OutOrStdout()), "writing the summary")
}

func (c *explainCmd) run(cmd *cobra.Command, id string, paths []string) error {
	if id == "" {
		return errors.New("the request ID is empty")
	}
	lines, err := readLogs(cmd.InOrStdin(), paths)
	if err != nil {
		return err
	}
	found := explain.Request(lines, id)
	if len(found) == 0 {
		return errors.Newf("none of the %d log lines mentions the request %q", len(lines), id)
	}
	for _, l := range found {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", l.At().Format("15:04:05.000"), l.Host(), l.Text())
		if err != nil {
			return errors.Wrap(err, "writing the lines")
		}
	}
	return nil
}

func readLogs(input io.Reader, paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		return explain.Read(input)
	}
	var all []explain.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, magnoliashore.Step(err, "open log", path)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Read(file)
	return lines, magnoliashore.Step(err, "read log", path)
}
