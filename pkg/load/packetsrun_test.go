package load

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/load/packets"
)

// Guards against decisions on packets that serve callers worse than plain placement: bursts beyond the
// capacity, failing and slow upstreams, with both deployments and ten seeds.
func TestPacketPatterns(t *testing.T) {
	for _, p := range packets.Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			const seeds = 10
			means := map[string]float64{}
			for seed := range uint64(seeds) {
				report, err := Run(context.Background(), p.Name, Options{Seed: seed})
				assert.NilError(t, err)
				assert.Assert(t, len(report.Checks) > 0)
				for _, c := range report.Checks {
					assert.Check(t, c.OK, "seed %d: %s is %.3f, bound %.3f", seed, c.Name, c.Value, c.Bound)
					means[c.Name] += c.Value / seeds
				}
			}
			for name, mean := range means {
				switch {
				case strings.HasSuffix(name, inTimeCheck):
					assert.Check(t, mean >= meanBurstInTime, "mean of %s is %.3f", name, mean)
				case strings.HasSuffix(name, keptCheck):
					assert.Check(t, mean >= meanKeptInFlood, "mean of %s is %.3f", name, mean)
				}
			}
		})
	}
}
