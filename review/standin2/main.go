// Command standin2 runs the cases of the second review that are scripts. It starts the programs of the deploy
// file as separate processes on loopback addresses, and plays the platform, the clients, the targets and the
// operator by the rules of the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// caseRun plays one case. It returns the number of times that the rule was broken, or an error if the case could
// not run.
type caseRun func(f *fleet, trouble bool) (broken int, err error)

var cases = map[string]caseRun{
	"late-syn":    runLateSYN,
	"empty-seeds": runEmptySeeds,
	"new-core":    runNewCore,
	"lost-reply":  runLostReply,
	"other-names": runOtherNames,
}

func main() {
	name := flag.String("case", "", "case to run")
	record := flag.String("record", "record.txt", "file of the record")
	root := flag.String("root", ".", "root of the repository, where the deploy file stands")
	logs := flag.String("logs", "", "folder for the output of the processes; none is kept without it")
	flag.Parse()
	os.Exit(run(*name, *record, *root, *logs, os.Getenv("TROUBLE") != "0"))
}

func run(name, recordPath, root, logs string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return exitFailed
	}
	r, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	f, err := newFleet(root, logs, r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return exitFailed
	}
	defer f.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stopAll()
		os.Exit(exitFailed)
	}()
	r.note("case %s, disruption %v", name, trouble)
	broken, err := play(f, trouble)
	f.stopAll()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken > 0:
		r.note("result: the rule was broken %d times", broken)
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}

// recorder writes the record of a case: what was sent, answered and run.
type recorder struct {
	out   *os.File
	begin time.Time
	lines chan string
	done  chan struct{}
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &recorder{out: out, begin: time.Now(), lines: make(chan string, 4096), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for line := range r.lines {
			fmt.Fprintln(r.out, line)
		}
	}()
	return r, nil
}

// note writes one line with the time since the start of the case in seconds.
func (r *recorder) note(format string, args ...any) {
	r.lines <- fmt.Sprintf("%9.4f ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
}

func (r *recorder) close() {
	close(r.lines)
	<-r.done
	r.out.Close()
}
