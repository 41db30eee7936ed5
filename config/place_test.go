package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Place assigns as many replicas as are configured and live boxes allow, reports the rest
// as short, and assigns neither a leaving box nor one box to two services.
func TestPlaceAssignsConfiguredReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := map[string]fleet.Box{}
		for i := range rapid.IntRange(0, 20).Draw(t, "boxes") {
			name := fmt.Sprintf("b%d", i)
			boxes[name] = fleet.Box{
				Name: name, Hall: rapid.SampledFrom([]string{"h", "k"}).Draw(t, "hall"),
				Class: "engine", Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			}
		}
		cfg := &Config{Services: map[string]Service{}}
		for _, name := range []string{"s", "t"} {
			cfg.Services[name] = Service{Boxes: "engine", Replicas: map[string]int{
				"h": rapid.IntRange(0, 6).Draw(t, "h"), "k": rapid.IntRange(0, 6).Draw(t, "k"),
			}}
		}
		p := Place(cfg, boxes)
		for _, hall := range []string{"h", "k"} {
			live := len(fleet.Select(boxes, func(b fleet.Box) bool { return b.Hall == hall && !b.Leaving }))
			for _, name := range []string{"s", "t"} {
				want := min(cfg.Services[name].Replicas[hall], live)
				got := 0
				for _, b := range p.ByService[name] {
					if boxes[b].Hall == hall {
						got++
					}
					if boxes[b].Leaving || p.ByBox[b] != name {
						t.Fatalf("%s is placed on %s, which serves %q", name, b, p.ByBox[b])
					}
				}
				if got != want || got+p.Shortfall[name+"/"+hall] != cfg.Services[name].Replicas[hall] {
					t.Fatalf("%s in %s has %d of %d, short %d", name, hall, got, want, p.Shortfall[name+"/"+hall])
				}
				live -= got
			}
		}
	})
}

func TestParseMergesDocuments(t *testing.T) {
	is := is.New(t)
	cfg, err := Parse(map[string][]byte{
		"a.yaml": []byte("halls: {h: {}}\n"),
		"b.yaml": []byte("halls: {k: {}}\nservices: {s: {kind: plain, boxes: x, replicas: {k: 2}}}\n"),
	})
	is.NoErr(err)
	is.Equal(len(cfg.Halls), 2)
	is.Equal(cfg.Services["s"].ReadyBeforeTraffic, 1) // Defaults are filled in.
	is.Equal(cfg.Limits.Queue, defaultQueue)
}

// For any input Parse returns either a configuration or an error, and does not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("halls: {h: {}}\nservices: {s: {kind: plain, boxes: x, replicas: {h: 2}}}\n"))
	f.Add([]byte("halls: [1, 2]\nlimits: {queue: [}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse(map[string][]byte{"a.yaml": data})
		if (cfg == nil) == (err == nil) {
			t.Fatal("want either a configuration or an error")
		}
	})
}
