// Standin3 plays the cases of the third review: it starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for the platform, upstreams, callers and operators.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld      = 0
	ruleBroken    = 1
	caseCannotRun = 2
)

// cases are the cases by name. A case returns what has broken the rule, empty if the rule held.
var cases = map[string]func(f *fleet, trouble bool) (broken []string, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("binary", "target/rosemarygate", "program of the system")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *binary, *trouble))
}

func play(name, recordPath, binary string, trouble bool) int {
	run := cases[name]
	if run == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "no such case; there are", names)
		return caseCannotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseCannotRun
	}
	defer r.close()
	f, err := newFleet(binary, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseCannotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(caseCannotRun)
	}()
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return caseCannotRun
	case len(broken) > 0:
		for _, b := range broken {
			r.line("BROKEN %s", b)
		}
		fmt.Println("broken:", broken[0])
		return ruleBroken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
