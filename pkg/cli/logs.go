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
	at     time.Time
	daemon string
	event  int
	fields map[string]any
}

func (l *logLine) text(field string) string {
	s, _ := l.fields[field].(string) // absent and of another type alike: the line does not match
	return s
}

const (
	// maxLogLine bounds a line of a log in bytes.
	maxLogLine = 1 << 20
	// storyMargin is the time around the packets of a flow in which events of its upstreams, its
	// daemons and the configuration belong to its story: an upstream is silent for 3.1 s before that is
	// logged, and a change is in force within 3 s.
	storyMargin = 5 * time.Second
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
		Short: "Print the story of a flow",
		Long: `flow prints, in the order of time, every decision about a flow that the logs hold, and what happened
around it: the registrations of its upstreams, starts and stops of its daemons, and configurations that
came into force. CALLER is the caller's address, with or without its port. Files hold JSON lines, with or
without a prefix; "-" reads the standard input.`,
		Example: "  rosemarygate logs flow 100.64.0.7:40001 edge-1.log edge-2.log control-1.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				more, err := readLog(path, cmd.InOrStdin())
				if err != nil {
					return usageError(err)
				}
				lines = append(lines, more...)
			}
			story := flowStory(lines, args[0])
			if len(story) == 0 {
				return errors.Errorf("no line is about flow %s: check the address, and name the logs of every entry daemon", args[0])
			}
			return printStory(cmd.OutOrStdout(), story)
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
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(scanner.Err(), "log %s", path)
}

// parseLogLine reads a line and reports whether it is one of a daemon: logs also hold what the runtime
// prints.
func parseLogLine(s string) (logLine, bool) {
	_, object, found := strings.Cut(s, "{")
	if !found {
		return logLine{}, false
	}
	var l logLine
	decoder := json.NewDecoder(strings.NewReader("{" + object))
	decoder.UseNumber() // times and cookies are printed as they were written
	if decoder.Decode(&l.fields) != nil {
		return logLine{}, false
	}
	number, _ := l.fields["event"].(json.Number) // without one the conversion below fails
	event, err := number.Int64()
	if err != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339, l.text("time"))
	if err != nil {
		return logLine{}, false
	}
	l.at, l.daemon, l.event = at, l.text("daemon"), int(event)
	return l, true
}

// flowStory returns the lines that belong to the flows of a caller, in the order of time.
func flowStory(lines []logLine, caller string) []logLine {
	var packets []time.Time
	upstreams, daemons := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !isOfCaller(l, caller) {
			continue
		}
		packets = append(packets, l.at)
		daemons[l.daemon] = true
		if u := l.text("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	isNear := func(at time.Time) bool {
		return slices.ContainsFunc(packets, func(p time.Time) bool { return at.Sub(p).Abs() <= storyMargin })
	}
	lifecycle := []int{
		events.DaemonStarted.Number, events.DaemonStopping.Number, events.DaemonStopped.Number, events.DaemonReady.Number,
		events.ConfigInForce.Number, events.WatchEnded.Number,
	}
	var story []logLine
	for _, l := range lines {
		elsewhere := l.event == events.RegistrationChanged.Number && !daemons[l.daemon]
		ofUpstream := l.text("flow") == "" && upstreams[l.text("upstream")] && !elsewhere
		ofDaemon := daemons[l.daemon] && slices.Contains(lifecycle, l.event)
		if isOfCaller(&l, caller) || (ofUpstream || ofDaemon) && isNear(l.at) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.at.Compare(b.at) })
	return story
}

func isOfCaller(l *logLine, caller string) bool {
	from, _, found := strings.Cut(l.text("flow"), ">")
	return found && (from == caller || strings.HasPrefix(from, caller+":"))
}

func printStory(out io.Writer, story []logLine) error {
	for _, l := range story {
		var rest []string
		for _, k := range slices.Sorted(maps.Keys(l.fields)) {
			switch k {
			case "time", "daemon", "event", "msg", "level":
			default:
				rest = append(rest, fmt.Sprintf("%s=%v", k, l.fields[k]))
			}
		}
		_, err := fmt.Fprintf(out, "%s %-18s %d %s: %s\n", l.at.Format("15:04:05.000"), l.daemon, l.event, l.text("msg"), strings.Join(rest, " "))
		if err != nil {
			return errors.Wrap(err, "print the story")
		}
	}
	return nil
}
