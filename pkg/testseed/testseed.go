// Package testseed fixes the seed of randomized tests, so that CI gives the same result on every run.
// Only tests import it.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is used unless -rapid.seed sets another one.
const defaultSeed = "1"

// Main runs the tests of a package with the fixed seed. -rapid.seed=N sets another seed, and
// ROSEMARYGATE_RANDOM=1 makes every run use a random one.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("ROSEMARYGATE_RANDOM") == "" {
		setUnlessGiven("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}

// MainWithChecks is Main with the given number of random inputs for each test, unless -rapid.checks=N
// sets another one.
func MainWithChecks(m *testing.M, checks int) {
	flag.Parse()
	setUnlessGiven("rapid.checks", strconv.Itoa(checks))
	Main(m)
}

// setUnlessGiven sets a flag that the command line does not set.
func setUnlessGiven(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
