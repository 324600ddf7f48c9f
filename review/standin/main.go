// Command lab plays the cases of the review: it starts the system as the deploy file says, on loopback
// addresses, with stand-ins for clients, servers, the operator and the platform.
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
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the reason why a case could not be played.
type errNotRun struct{ reason string }

func (e errNotRun) Error() string { return e.reason }

func notRun(format string, args ...any) error { return errNotRun{fmt.Sprintf(format, args...)} }

// scenario is one case. trouble is false for the run without the disruption.
type scenario struct {
	edgesPerZone int
	play         func(f *fleet, trouble bool) error
}

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *trouble))
}

func play(name, recordPath string, trouble bool) int {
	c, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.event("case %s, disruption: %v", name, trouble)
	f, err := newFleet(rec, c.edgesPerZone)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() {
		if err := f.startAll(); err != nil {
			ended <- err
			return
		}
		ended <- c.play(f, trouble)
	}()
	select {
	case err = <-ended:
	case s := <-stop:
		err = notRun("stopped by %v", s)
	}
	if err != nil {
		rec.event("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	f.close()
	breaks := rec.close()
	switch {
	case err != nil:
		return exitNotRun
	case breaks > 0:
		return exitBroken
	}
	return exitHeld
}

// prepare brings the deployment into service: the first configuration, servers, and all edge machines in
// rotation.
func (f *fleet) prepare(o *operator, body []byte, pressline, packbench int) ([]*server, error) {
	if code := o.replace("the first configuration", body, 20*time.Second); code != 200 {
		return nil, notRun("the first configuration was not accepted")
	}
	var servers []*server
	for n := 1; n <= pressline+packbench; n++ {
		service := "pressline"
		if n > pressline {
			service = "packbench"
		}
		s, err := f.startServer(n, service, n%len(zoneNames))
		if err != nil {
			return nil, err
		}
		f.addServer(s)
		servers = append(servers, s)
	}
	for range 100 {
		ready := 0
		for _, m := range f.edges {
			if m.inRotation() {
				ready++
			}
		}
		if ready == len(f.edges) {
			return servers, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, notRun("the edge machines did not become ready within 20 s")
}
