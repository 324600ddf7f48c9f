package replica

import (
	"testing"

	"rosemarygate/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
