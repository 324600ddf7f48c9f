package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/controlhost"
	"rosemarygate/pkg/decisionlog"
	"rosemarygate/pkg/edge"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/supervise"
	"rosemarygate/pkg/telemetry"
	"rosemarygate/platform"
)

const (
	// memoryShare is the part of the memory limit that the Go heap may use before garbage is collected
	// more often; the rest is for stacks, the binary and unread bytes of sockets.
	memoryShare = 0.7
	// settingsCheckPeriod is the time between two checks of the settings file, which may change
	// without a signal.
	settingsCheckPeriod = 2 * time.Second
)

// node is a process on the users' platform: an entry daemon or a control host.
type node struct {
	role             platform.Role
	settingsPath     string
	metricsPort      uint16
	settings         atomic.Pointer[platform.Settings]
	settingsModified time.Time
	log              logrus.FieldLogger
	metrics          *telemetry.Set
	logWriter        *decisionlog.Writer
}

func newEdge() *cobra.Command {
	return nodeCommand(platform.EntryDaemon, "edge", "Run an entry daemon on the users' platform", `edge forwards the packets of flows to upstreams. It keeps no durable state: the routes and the
registrations of upstreams come from control hosts. On SIGTERM it keeps serving packets that arrive
until the fabric no longer sends any.`, func(n *node) (func(context.Context) error, error) {
		s := n.settings.Load()
		return edge.New(edge.Config{
			Name: s.Name, DataCentre: s.DataCentre, PacketAddress: s.PacketAddress, ReadinessAddress: s.ReadinessAddress,
			ReadinessHandler: platform.ReadinessHandler, NotifyAddress: s.PeerAddress, Seeds: n.seeds, GracePeriod: s.GracePeriod, FlowLifetime: s.FlowLifetime,
			LinkBitsPerSecond: s.LinkBitsPerSecond, WarmupTolerance: s.WarmupTolerance, AnnouncementInterval: s.AnnouncementInterval, Codec: platform.Codec{}, Log: n.log, Metrics: n.metrics,
		}).Run, nil
	})
}

func newControl() *cobra.Command {
	var peerListenFlag string
	cmd := nodeCommand(platform.ControlHost, "control", "Run a control host on the users' platform", `control accepts the announcements of upstreams and the configurations of operators. Control hosts
form their group from the seeds, and add new hosts and replace lost ones without an operator.`, func(n *node) (func(context.Context) error, error) {
		s := n.settings.Load()
		var peerListen netip.AddrPort
		if peerListenFlag != "" {
			var err error
			if peerListen, err = netip.ParseAddrPort(peerListenFlag); err != nil {
				return nil, errors.Wrap(err, "--peer-listen is not an address: write it as 10.0.0.1:7720")
			}
		}
		return controlhost.New(controlhost.Config{
			Name: s.Name, ControlAddress: s.ControlAddress, PeerAddress: s.PeerAddress, PeerListenAddress: peerListen, Seeds: n.seeds, FirstStart: s.FirstStart, DataDir: s.DataDir,
			ToleratedDisks: s.ToleratedDisks, AnnouncementInterval: s.AnnouncementInterval, GracePeriod: s.GracePeriod, FlowLifetime: s.FlowLifetime, DataCentres: s.DataCentres,
			Decode: platform.DecodeConfig, Handler: platform.ControlHandler, Log: n.log, Metrics: n.metrics, FS: dataFS(s.DataDir),
		}).Run, nil
	})
	cmd.Flags().StringVar(&peerListenFlag, "peer-listen", "", "IP:port to listen on for other daemons, if their connections pass an address translation or a proxy")
	return cmd
}

// nodeCommand returns a command that runs a node. newServe returns the function that serves until its
// context ends.
func nodeCommand(role platform.Role, name, short, long string, newServe func(*node) (func(context.Context) error, error)) *cobra.Command {
	var logLevel, path string
	var port uint16
	cmd := &cobra.Command{
		Use: name, Short: short, Long: long, Args: cobra.NoArgs,
		Example: "  rosemarygate " + name + " --settings /etc/rosemarygate/node.json --metrics-port 9102",
		RunE: func(cmd *cobra.Command, _ []string) error {
			n := &node{role: role, settingsPath: path, metricsPort: port, metrics: telemetry.NewSet(), logWriter: decisionlog.NewWriter()}
			if err := n.prepare(logLevel); err != nil {
				return usageError(err)
			}
			serve, err := newServe(n)
			if err != nil {
				return usageError(err)
			}
			return n.run(cmd.OutOrStdout(), serve)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file; without it the platform's environment variable names it")
	cmd.Flags().StringVar(&logLevel, "log", "info", "log level: debug, info, warning or error")
	cmd.Flags().Uint16Var(&port, "metrics-port", 0, "port of the HTTP server for metrics; 0 for no server")
	return cmd
}

// prepare reads the settings and prepares the log.
func (n *node) prepare(level string) error {
	if n.settingsPath == "" {
		path, err := platform.SettingsPathFromEnv()
		if err != nil {
			return err
		}
		n.settingsPath = path
	}
	s, err := platform.LoadSettings(n.settingsPath, n.role)
	if err != nil {
		return err
	}
	n.settings.Store(s)
	n.settingsModified = n.settingsModTime()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	logLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level is unknown: use debug, info, warning or error")
	}
	n.log = decisionlog.NewLogger(n.logWriter, logLevel).WithField("daemon", s.Name)
	return nil
}

func (n *node) seeds() []netip.AddrPort { return n.settings.Load().SeedAddresses }

// run runs serve, the log writer, the metrics server and the checks of the settings file until SIGINT or
// SIGTERM.
func (n *node) run(out io.Writer, serve func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		_ = n.logWriter.Run(logCtx, out) // it returns no error
	}()
	n.metrics.Gauge("log_lines_dropped", func() float64 { return float64(n.logWriter.Dropped()) })

	tree := supervise.New()
	tree.AddStoppable(func() error { return serve(ctx) }, stop)
	tree.Add(n.watchSettings)
	if n.metricsPort != 0 {
		tree.Add(n.serveMetrics)
	}
	err := tree.Run()
	if err != nil {
		events.ComponentFailed.Log(n.log, logrus.Fields{"error": err})
	}
	stopLog()
	<-logDone
	return err
}

func (n *node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	return mux
}

// serveMetrics serves metrics until ctx ends. If the port is in use, it logs that and the process goes on
// without metrics.
func (n *node) serveMetrics(ctx context.Context) error {
	address := fmt.Sprintf("%s:%d", n.settings.Load().HostIP, n.metricsPort)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		events.MetricsFailed.Log(n.log, logrus.Fields{"address": address, "error": err})
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: time.Second}
	tree := supervise.New()
	tree.Serve(server, listener)
	tree.Add(func(treeCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-treeCtx.Done():
		}
		return nil
	})
	return tree.Run()
}

// watchSettings reloads the settings after SIGHUP and when the file has changed. Changed seeds take
// effect at once, other changes at the next start.
func (n *node) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			n.reloadSettings("SIGHUP")
		case <-ticker.C:
			if at := n.settingsModTime(); !at.Equal(n.settingsModified) {
				n.reloadSettings("file changed")
			}
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero time if the file cannot
// be read.
func (n *node) settingsModTime() time.Time {
	fileInfo, err := os.Stat(n.settingsPath)
	if err != nil {
		return time.Time{}
	}
	return fileInfo.ModTime()
}

func (n *node) reloadSettings(cause string) {
	n.settingsModified = n.settingsModTime()
	s, err := platform.LoadSettings(n.settingsPath, n.role)
	if err != nil {
		events.SettingsRefused.Log(n.log, logrus.Fields{"cause": cause, "error": err})
		return
	}
	n.settings.Store(s)
	events.SettingsReloaded.Log(n.log, logrus.Fields{"cause": cause, "seeds": s.SeedAddresses})
}
