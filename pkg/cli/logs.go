package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/events"
)

// logLine is one line of a daemon's log.
type logLine struct {
	time   time.Time
	daemon string
	event  int
	fields map[string]any
}

func (l *logLine) textField(field string) string {
	s, _ := l.fields[field].(string) // empty if the field is absent or not a string: the line then does not match
	return s
}

const (
	// maxLogLineBytes bounds the length of a log line.
	maxLogLineBytes = 1 << 20
	// timelineMargin is the time before and after each packet of a flow in which events of its upstreams,
	// its daemons and the configuration belong to its timeline: an upstream is silent for 3.1 s before
	// that is logged, and a change is in force within 3 s.
	timelineMargin = 5 * time.Second
)

func newLogs() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "logs",
		Short: "Find the cause of a failed request in the logs of several daemons",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newLogsFlow())
	return cmd
}

func newLogsFlow() *cobra.Command {
	return &cobra.Command{
		Use:   "flow CALLER FILE...",
		Short: "Print the timeline of a flow",
		Long: `flow prints, in chronological order, every decision about a flow in the logs, and the events shortly
before and after: registrations of its upstreams, starts and stops of its daemons, and configurations
that came into force. CALLER is the caller's address, with or without its port. Files hold JSON lines, with or
without a prefix; "-" stands for the standard input.`,
		Example: "  rosemarygate logs flow 100.64.0.7:40001 edge-1.log edge-2.log control-1.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				fileLines, err := readLog(path, cmd.InOrStdin())
				if err != nil {
					return usageError(err)
				}
				lines = append(lines, fileLines...)
			}
			timeline := flowTimeline(lines, args[0])
			if len(timeline) == 0 {
				return errors.Errorf("no log line is about flow %s: check the address, and name the logs of every entry daemon", args[0])
			}
			return printTimeline(cmd.OutOrStdout(), timeline)
		},
	}
}

func readLog(path string, stdin io.Reader) ([]logLine, error) {
	in := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log cannot be read")
		}
		defer file.Close()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", path)
}

// parseLogLine parses a line and reports whether it is a log line of a daemon. Logs also contain output
// of the Go runtime.
func parseLogLine(text string) (logLine, bool) {
	_, jsonText, found := strings.Cut(text, "{")
	if !found {
		return logLine{}, false
	}
	var l logLine
	decoder := json.NewDecoder(strings.NewReader("{" + jsonText))
	decoder.UseNumber() // times and cookies are printed exactly as in the log
	if decoder.Decode(&l.fields) != nil {
		return logLine{}, false
	}
	number, _ := l.fields["event"].(json.Number) // if it is missing, the conversion below fails
	event, err := number.Int64()
	if err != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339, l.textField("time"))
	if err != nil {
		return logLine{}, false
	}
	l.time, l.daemon, l.event = at, l.textField("daemon"), int(event)
	return l, true
}

// flowTimeline returns the lines that belong to the flows of a caller, in chronological order.
func flowTimeline(lines []logLine, caller string) []logLine {
	var packetTimes []time.Time
	upstreams, daemons := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !concernsCaller(l, caller) {
			continue
		}
		packetTimes = append(packetTimes, l.time)
		daemons[l.daemon] = true
		if u := l.textField("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	isNearPacket := func(at time.Time) bool {
		return slices.ContainsFunc(packetTimes, func(p time.Time) bool { return at.Sub(p).Abs() <= timelineMargin })
	}
	daemonEvents := []int{
		events.DaemonStarted.Number, events.DaemonStopping.Number, events.DaemonStopped.Number, events.DaemonReady.Number,
		events.ConfigInForce.Number, events.WatchEnded.Number, events.EvacuationBegan.Number, events.EvacuationEnded.Number,
	}
	var timeline []logLine
	for _, l := range lines {
		atOtherDaemon := l.event == events.RegistrationChanged.Number && !daemons[l.daemon]
		concernsUpstream := l.textField("flow") == "" && upstreams[l.textField("upstream")] && !atOtherDaemon
		concernsDaemon := daemons[l.daemon] && slices.Contains(daemonEvents, l.event)
		if concernsCaller(&l, caller) || (concernsUpstream || concernsDaemon) && isNearPacket(l.time) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.time.Compare(b.time) })
	return timeline
}

func concernsCaller(l *logLine, caller string) bool {
	source, _, found := strings.Cut(l.textField("flow"), ">")
	return found && (source == caller || strings.HasPrefix(source, caller+":"))
}

func printTimeline(out io.Writer, timeline []logLine) error {
	for _, l := range timeline {
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.fields)) {
			switch k {
			case "time", "daemon", "event", "msg", "level":
			default:
				fields = append(fields, fmt.Sprintf("%s=%v", k, l.fields[k]))
			}
		}
		_, err := fmt.Fprintf(out, "%s %-18s %d %s: %s\n", l.time.Format("15:04:05.000"), l.daemon, l.event, l.textField("msg"), strings.Join(fields, " "))
		if err != nil {
			return errors.Wrap(err, "print the timeline")
		}
	}
	return nil
}
