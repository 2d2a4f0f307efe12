package picker_test

import (
	"fmt"
	"testing"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// BenchmarkPick picks and releases a slot with n servers in one zone.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 120, 600} {
		for _, prefix := range []string{"none", "shared"} {
			b.Run(fmt.Sprintf("servers=%d/prefix=%s", n, prefix), func(b *testing.B) {
				p := newPicker(newServers(n, "a")...)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r := newRequest(0)
					if prefix == "shared" {
						r.Prefix = uint64(i%200) + 1
					}
					at := now + clocker.Millis(i)
					c, _ := p.Pick(at, r, noneLeaving)
					p.Release(at+1, c, picker.Succeeded)
				}
			})
		}
	}
}

// BenchmarkSetServers sets n servers in ten availability zones. The allocated bytes are the
// memory that the picker needs for them.
func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{12, 600, 5800} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var servers []*messenger.BackendServer
			for zone := range 10 {
				servers = append(servers, newServers(n/10, string(rune('a'+zone)))...)
			}
			b.ReportAllocs()
			for b.Loop() {
				newPicker(servers...)
			}
		})
	}
}
