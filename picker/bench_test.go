package picker_test

import (
	"fmt"
	"testing"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// BenchmarkPick takes and gives back a slot before n servers of one zone.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 120, 600} {
		for _, prefix := range []string{"none", "shared"} {
			b.Run(fmt.Sprintf("servers=%d/prefix=%s", n, prefix), func(b *testing.B) {
				p := newPicker(many(n, "a")...)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r := ask(0)
					if prefix == "shared" {
						r.Prefix = uint64(i%200) + 1
					}
					at := now + clocker.Millis(i)
					c, _ := p.Pick(at, r, none)
					p.Release(at+1, c, picker.Succeeded)
				}
			})
		}
	}
}

// BenchmarkSync takes over n servers in ten availability zones; its bytes are
// what the picker keeps of them.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{12, 600, 5800} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var servers []*messenger.BackendServer
			for zone := range 10 {
				servers = append(servers, many(n/10, string(rune('a'+zone)))...)
			}
			b.ReportAllocs()
			for b.Loop() {
				newPicker(servers...)
			}
		})
	}
}
