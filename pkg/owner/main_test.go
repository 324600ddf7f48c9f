package owner

import (
	"testing"

	"rosemarygate/pkg/testseed"
)

// randomSchedules is the number of random schedules per test. TestAtMostOnceUnderRandomFaults
// needed up to 6,700 schedules to find faults in the core.
const randomSchedules = 5000

func TestMain(m *testing.M) { testseed.MainWithChecks(m, randomSchedules) }
