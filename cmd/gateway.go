package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/gateway"
	"github.com/magnoliashore/magnoliashore/logs"
	"github.com/magnoliashore/magnoliashore/platform"
	"github.com/magnoliashore/magnoliashore/timer"
)

type gatewayCmd struct {
	cmd  *cobra.Command
	opts gatewayOptions
}

type gatewayOptions struct {
	settings string
	level    string
}

func newGatewayCmd() *gatewayCmd {
	c := &gatewayCmd{}
	c.cmd = &cobra.Command{
		Use:   "gateway",
		Short: "Runs one host on the users' platform until SIGTERM, then stops it gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd.Context())
		},
	}
	c.cmd.Flags().StringVar(&c.opts.settings, "settings", os.Getenv(platform.SettingsVariable),
		"settings file of the platform")
	c.cmd.Flags().StringVar(&c.opts.level, "log", "info", "least level of the log lines")
	return c
}

func (c *gatewayCmd) run(ctx context.Context) error {
	s, err := loadPlatformSettings(c.opts.settings)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(c.opts.level)
	if err != nil {
		return errors.Wrapf(err, "reading the log level %q", c.opts.level)
	}
	clock := &timer.Service{}
	handler := logs.New(os.Stdout, clock)
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		handler.Run(writing)
	}()
	defer func() {
		stop()
		<-written
	}()
	host := &gateway.Host{
		Settings:  s,
		Dialect:   platform.Dialect{},
		Source:    platform.NewStore(s.Store),
		Decoder:   platform.Decoder{},
		Timer:     clock,
		Log:       (&log.Logger{Handler: handler, Level: level}).WithField("host", string(s.Host)),
		Metrics:   gateway.NewMetrics(),
		Directory: platform.Directory,
		Ready:     platform.Ready,
	}
	handler.Dropped = host.Metrics.LogDropped
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	host.Signals = reloads
	host.Load = func() (gateway.Settings, error) { return loadPlatformSettings(c.opts.settings) }
	return host.Run(ctx)
}

// loadPlatformSettings reads and checks the platform's settings file.
func loadPlatformSettings(path string) (gateway.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, magnoliashore.Step(err, "read settings", path)
	}
	s, err := platform.DecodeSettings(data)
	return s, magnoliashore.Step(err, "read settings", path)
}
