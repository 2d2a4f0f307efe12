package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"

	"cowsliphinge/clocker"
)

const (
	// hostileSeries is the first of the series of random numbers of the hostile clients.
	hostileSeries = 3 * serverSeries
	// hostileMemoryMb and hostileBodyBytes are the memory of routers and the limit of bodies with
	// Config.Hostile: 16 bodies fill the memory of a router.
	hostileMemoryMb  = 64
	hostileBodyBytes = 4 << 20
	// hostileStay is the longest time that a hostile client stays, in milliseconds.
	hostileStay = 4 * clocker.Second
	// hostilePause is the longest pause of a hostile client, in milliseconds.
	hostilePause = 50
)

// hostileBody is shared by all hostile clients.
var hostileBody = make([]byte, hostileBodyBytes-1)

// harassUntil sends requests that don't end until ctx ends. No server ever gets one, so that the record of the run
// need not know them.
func (w *world) harassUntil(ctx context.Context, number int, rng *rand.Rand) {
	for n := 0; w.cfg.Clock.Sleep(ctx, clocker.Millis(rng.IntN(hostilePause))) == nil; n++ {
		conn, err := net.Dial("tcp4", w.anyRouter(rng).settings.CallerAddress)
		if err != nil {
			continue // the router is down
		}
		_ = conn.SetDeadline(clocker.FromNow(clocker.Millis(1 + rng.IntN(int(hostileStay))))) // fails only if conn is closed
		head, body := hostileMessage(fmt.Sprintf("hostile-%d-%d", number, n), rng)
		message := net.Buffers{[]byte(head), body}
		if _, err := message.WriteTo(conn); err == nil {
			_, _ = io.Copy(io.Discard, conn) // ends with the deadline or the connection
		}
		_ = conn.Close()
	}
}

// hostileMessage returns head and body of a request that stops short of its end.
func hostileMessage(id string, rng *rand.Rand) (head string, body []byte) {
	head = fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer key-one\r\n", host, id)
	switch rng.IntN(4) {
	case 0:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, hostileBodyBytes), hostileBody
	case 1:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, hostileBodyBytes), hostileBody
	case 2:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, 100*hostileBodyBytes), hostileBody
	default:
		return head + strings.Repeat("h:\r\n", 8000), nil
	}
}

// memoryFindings returns a finding for each router whose process, as far as it lives, has taken more than its
// memory.
func (w *world) memoryFindings() []string {
	var findings []string
	for _, r := range w.routers {
		peak, err := r.peakMemory()
		if err != nil {
			findings = append(findings, fmt.Sprintf("memory of router %d is unknown: %v", r.number, err))
			continue
		}
		if limit := r.settings.MemoryMb << 10; peak > limit {
			findings = append(findings, fmt.Sprintf("router %d took %d kB, its memory is %d kB", r.number, peak, limit))
		}
	}
	return findings
}

// peakMemory returns the peak resident memory of the process in kB.
func (r *router) peakMemory() (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	var peak int64
	_, err = fmt.Sscan(rest, &peak)
	return peak, err
}
