package weights

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	measure       = flag.Bool("measure", false, "print the figures of bursts in virtual time")
	measureBoxes  = flag.String("measure.boxes", "20,100,300", "sizes to measure")
	measureChunks = flag.Int("measure.chunks", 256, "chunks of the model")
	simSlots      = flag.Int("sim.slots", 0, "upload slots; 0 is the default")
	simQueue      = flag.Int("sim.queue", 0, "uploads that wait; 0 is the default")
	simParallel   = flag.Int("sim.parallel", 0, "chunks fetched at once; 0 is the default")
	simTrace      = flag.Bool("sim.trace", false, "print progress")
	measureOnly   = flag.String("measure.only", "", "only cases whose line contains this")
)

// TestMeasure prints the figures quoted in docs/design/weights.md. It asserts nothing;
// scripts/measure runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	for _, size := range strings.Split(*measureBoxes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for _, strategy := range []Strategy{Swarm, Tree, Direct} {
			for _, policy := range []string{"time", "origin-bytes"} {
				for _, shared := range []bool{false, true} {
					for _, faults := range []bool{false, true} {
						printBurst(t, burst{
							boxes: n, chunks: *measureChunks, policy: policy, strategy: strategy, shared: shared,
							window: 240 * time.Second, faults: faults, seed: 1, haveManifest: true,
						})
					}
				}
			}
		}
	}
}

func printBurst(t *testing.T, b burst) {
	links := "separate"
	if b.shared {
		links = "shared"
	}
	name := fmt.Sprintf("boxes=%d policy=%s strategy=%s links=%s faults=%t", b.boxes, b.policy, b.strategy.Name, links, b.faults)
	if !strings.Contains(name, *measureOnly) || b.strategy.Name != "swarm" && b.policy == "time" {
		return // Only the swarm depends on the policy.
	}
	began := time.Now()
	limit := 3 * b.window
	if b.strategy.Name == "direct" {
		limit = time.Duration(b.boxes) * b.window
	}
	f := b.run(t, limit)
	fmt.Printf("%s time_ratio=%.3f time_half_ratio=%.3f origin_copies=%.3f max_upload_copies=%.2f control_bytes_per_box_s=%.0f dead=%d real_s=%.1f\n",
		name, f.ratio(1), f.ratio(0.5), f.origin, f.maxUpload, f.control, f.dead, time.Since(began).Seconds())
}
