package heartbeater

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"cowsliphinge/clocker"
)

// NewIncarnation returns a unique name for one process life of a host: the host, the start
// time and a random part.
func NewIncarnation(host string, now clocker.Millis) string {
	var random [4]byte
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%s-%x-%s", host, int64(now), hex.EncodeToString(random[:]))
}
