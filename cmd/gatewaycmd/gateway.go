// Package gatewaycmd provides the command that runs a host on the users'
// platform. It is separate from the other commands so that the program that the
// platform starts links fewer packages: it starts at less cost and handles
// signals sooner.
package gatewaycmd

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"sync"
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
	settings   string
	level      string
	peerListen string
}

// New returns the gateway command.
func New() *cobra.Command {
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
	c.cmd.Flags().StringVar(&c.opts.level, "log", "info", "lowest level of log lines to write")
	c.cmd.Flags().StringVar(&c.opts.peerListen, "peer-listen", "",
		"ip:port to listen at for other hosts, if a forwarder receives their traffic; default: the settings' address")
	return c.cmd
}

func (c *gatewayCmd) run(ctx context.Context) error {
	s, err := LoadSettings(c.opts.settings)
	if err != nil {
		return err
	}
	if c.opts.peerListen != "" {
		if _, err := netip.ParseAddrPort(c.opts.peerListen); err != nil {
			return errors.Wrapf(err, "parsing the address of --peer-listen %q", c.opts.peerListen)
		}
	}
	level, err := log.ParseLevel(c.opts.level)
	if err != nil {
		return errors.Wrapf(err, "parsing the log level %q", c.opts.level)
	}
	clock := &timer.Service{}
	handler := logs.New(os.Stdout, clock)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		handler.Run(logCtx)
	}()
	defer func() {
		stopLog()
		<-logDone
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

		PeerListen: c.opts.peerListen,
	}
	handler.Dropped = host.Metrics.LogDropped
	host.Signals = ReloadSignals()
	host.Load = func() (gateway.Settings, error) { return LoadSettings(c.opts.settings) }
	return host.Run(ctx)
}

// LoadSettings reads and checks the platform's settings file.
func LoadSettings(path string) (gateway.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, magnoliashore.Step(err, "read settings", path)
	}
	s, err := platform.DecodeSettings(data)
	return s, magnoliashore.Step(err, "read settings", path)
}

// ReloadSignals returns a channel that receives SIGHUP, which asks the host to
// read its settings again. Until the first call SIGHUP ends the process, so call
// it early.
var ReloadSignals = sync.OnceValue(func() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
})
