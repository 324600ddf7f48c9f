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
	// memoryShare is the part of the memory limit that the Go heap may take before the collector
	// works harder; the rest is for stacks, the binary and unread bytes of sockets.
	memoryShare = 0.7
	// settingsPeriod is how often the settings file is looked at: it may change without a signal.
	settingsPeriod = 2 * time.Second
)

// node is a process on the users' platform: an entry daemon or a control host.
type node struct {
	role        platform.Role
	path        string
	metricsPort uint16
	settings    atomic.Pointer[platform.Settings]
	modified    time.Time
	log         logrus.FieldLogger
	metrics     *telemetry.Set
	writer      *decisionlog.Writer
}

func newEdge() *cobra.Command {
	return nodeCommand(platform.EntryDaemon, "edge", "Run an entry daemon on the users' platform", `edge forwards the packets of flows to upstreams. It keeps no durable state: the routes and the
registrations of upstreams come from control hosts. On SIGTERM it serves what still arrives until the
fabric has turned away.`, func(n *node) (func(context.Context) error, error) {
		s := n.settings.Load()
		return edge.New(edge.Config{
			Name: s.Name, DataCentre: s.DataCentre, Packets: s.Packets, Readiness: s.Readiness,
			ReadinessHandler: platform.ReadinessHandler, Seeds: n.seeds, Grace: s.Grace, FlowLifetime: s.FlowLifetime,
			Codec: platform.Codec{}, Log: n.log, Metrics: n.metrics,
		}).Run, nil
	})
}

func newControl() *cobra.Command {
	var listen string
	cmd := nodeCommand(platform.ControlHost, "control", "Run a control host on the users' platform", `control takes the announcements of upstreams and the configurations of operators. Control hosts found
their group from the seeds, take newcomers in and replace lost hosts without an operator.`, func(n *node) (func(context.Context) error, error) {
		s := n.settings.Load()
		var peerListen netip.AddrPort
		if listen != "" {
			var err error
			if peerListen, err = netip.ParseAddrPort(listen); err != nil {
				return nil, errors.Wrap(err, "--peer-listen is no address: write it as 10.0.0.1:7720")
			}
		}
		return controlhost.New(controlhost.Config{
			Name: s.Name, Control: s.Control, Peer: s.Peer, PeerListen: peerListen, Seeds: n.seeds, Found: s.FirstStart, Dir: s.DataDir,
			ToleratedDisks: s.ToleratedDisks, Heartbeat: s.Heartbeat, FlowLifetime: s.FlowLifetime,
			Decode: platform.DecodeConfig, Handler: platform.ControlHandler, Log: n.log, Metrics: n.metrics, FS: dataFS(s.DataDir),
		}).Run, nil
	})
	cmd.Flags().StringVar(&listen, "peer-listen", "", "IP:port that serves other daemons, if an address translation or a proxy stands before it")
	return cmd
}

func nodeCommand(role platform.Role, name, short, long string, build func(*node) (func(context.Context) error, error)) *cobra.Command {
	var level, path string
	var port uint16
	cmd := &cobra.Command{
		Use: name, Short: short, Long: long, Args: cobra.NoArgs,
		Example: "  rosemarygate " + name + " --settings /etc/rosemarygate/node.json --metrics-port 9102",
		RunE: func(cmd *cobra.Command, _ []string) error {
			n := &node{role: role, path: path, metricsPort: port, metrics: telemetry.NewSet(), writer: decisionlog.NewWriter()}
			if err := n.start(level); err != nil {
				return usageError(err)
			}
			serve, err := build(n)
			if err != nil {
				return usageError(err)
			}
			return n.run(cmd.OutOrStdout(), serve)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file; without it the platform's environment variable names it")
	cmd.Flags().StringVar(&level, "log", "info", "log level: debug, info, warning or error")
	cmd.Flags().Uint16Var(&port, "metrics-port", 0, "port that serves metrics; 0 serves none")
	return cmd
}

// start reads the settings and prepares the log.
func (n *node) start(level string) error {
	if n.path == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			return err
		}
		n.path = path
	}
	s, err := platform.LoadSettings(n.path, n.role)
	if err != nil {
		return err
	}
	n.settings.Store(s)
	n.modified = n.modification()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level is not known: use debug, info, warning or error")
	}
	n.log = decisionlog.NewLogger(n.writer, parsed).WithField("daemon", s.Name)
	return nil
}

func (n *node) seeds() []netip.AddrPort { return n.settings.Load().Seeds }

// run runs the process with its log, metrics and settings until SIGINT or SIGTERM.
func (n *node) run(out io.Writer, serve func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logCtx, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		_ = n.writer.Run(logCtx, out) // it returns no error
	}()
	n.metrics.Gauge("log_lines_dropped", func() float64 { return float64(n.writer.Dropped()) })

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
	<-logged
	return err
}

func (n *node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	return mux
}

// serveMetrics serves metrics until ctx ends. A port that is taken is logged: the process serves flows
// without metrics.
func (n *node) serveMetrics(ctx context.Context) error {
	address := fmt.Sprintf("%s:%d", n.settings.Load().IP, n.metricsPort)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		events.MetricsFailed.Log(n.log, logrus.Fields{"address": address, "error": err})
		<-ctx.Done()
		return nil
	}
	web := &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: time.Second}
	tree := supervise.New()
	tree.Serve(web, listener)
	tree.Add(func(inner context.Context) error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		return nil
	})
	return tree.Run()
}

// watchSettings reads the settings again after SIGHUP and when the file has changed. Seeds take
// effect at once, everything else at the next start.
func (n *node) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			n.reload("SIGHUP")
		case <-ticker.C:
			if at := n.modification(); !at.Equal(n.modified) {
				n.reload("file changed")
			}
		}
	}
}

// modification returns when the settings file changed last, or the zero time if it cannot be read.
func (n *node) modification() time.Time {
	info, err := os.Stat(n.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (n *node) reload(cause string) {
	n.modified = n.modification()
	s, err := platform.LoadSettings(n.path, n.role)
	if err != nil {
		events.SettingsRefused.Log(n.log, logrus.Fields{"cause": cause, "error": err})
		return
	}
	n.settings.Store(s)
	events.SettingsReloaded.Log(n.log, logrus.Fields{"cause": cause, "seeds": s.Seeds})
}
