package owner

import (
	"testing"

	"rosemarygate/pkg/testseed"
)

// randomSchedules is the number of random schedules per test. Faults in the core took
// TestAtMostOnceUnderRandomFaults up to 6,700 schedules to find.
const randomSchedules = 5000

func TestMain(m *testing.M) { testseed.MainWithChecks(m, randomSchedules) }
