package config_test

import (
	"fmt"
	"strings"
	"testing"

	"guavacrank.example/config"
)

// fleetText returns a configuration with the given number of backend servers.
func fleetText(servers int) []byte {
	var text strings.Builder
	text.WriteString("services:\n  - name: s\n    divided_by_key: true\n    shards: 256\n    classes:\n")
	text.WriteString("      - {name: q, idempotent: true, priority: bulk, deadline: 1s}\nservers:\n")
	for i := range servers {
		fmt.Fprintf(&text, "  - {name: s-%d, service: s, address: \"10.0.%d.%d:8080\", region: r, zone: z, slots: 6, connections: 130, checks_grants: true}\n",
			i, i/250, 1+i%250)
	}
	return []byte(text.String())
}

func BenchmarkParseConfiguration(b *testing.B) {
	for _, servers := range []int{40, 400, 4000} {
		data := fleetText(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.ParseConfiguration("c.yaml", data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "file-B")
		})
	}
}
