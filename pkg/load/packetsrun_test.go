package load

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/load/packets"
)

// Guards against packet decisions that serve callers worse than simple placement does, in bursts
// beyond the capacity and with failing or slow upstreams; runs both deployments with ten seeds.
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
				case strings.HasSuffix(name, inTimeCheckName):
					assert.Check(t, mean >= minMeanBurstInTimeRatio, "mean of %s is %.3f", name, mean)
				case strings.HasSuffix(name, keptInFloodCheckName):
					assert.Check(t, mean >= minMeanKeptInFlood, "mean of %s is %.3f", name, mean)
				}
			}
		})
	}
}
