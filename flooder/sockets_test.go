package flooder

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// unreadBytes returns the number of bytes that the kernel has received for the process from its callers.
func (p *process) unreadBytes() int64 {
	return p.queuedBytes(func(fields []string) int64 {
		if !strings.HasSuffix(fields[1], portSuffix(p.t, p.callers)) {
			return 0
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		return parseHex(p.t, queue)
	})
}

// bytesUnder returns the number of bytes that are under way from a server at address to the process.
func (p *process) bytesUnder(address string) int64 {
	suffix := portSuffix(p.t, address)
	return p.queuedBytes(func(fields []string) int64 {
		send, receive, _ := strings.Cut(fields[4], ":")
		switch {
		case strings.HasSuffix(fields[1], suffix):
			return parseHex(p.t, send)
		case strings.HasSuffix(fields[2], suffix):
			return parseHex(p.t, receive)
		}
		return 0
	})
}

// queuedBytes sums what count returns for the fields of each TCP connection.
func (p *process) queuedBytes(count func(fields []string) int64) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.command.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which assertBounded finds
	}
	const listening = "0A" // its queue counts connections
	sum := int64(0)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[0] == "sl" || fields[3] == listening {
			continue
		}
		sum += count(fields)
	}
	return sum
}

// portSuffix returns the end of an address as the kernel prints it.
func portSuffix(t *testing.T, address string) string {
	_, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	number, err := strconv.Atoi(port)
	assert.NilError(t, err)
	return fmt.Sprintf(":%04X", number)
}

func parseHex(t *testing.T, figure string) int64 {
	n, err := strconv.ParseInt(figure, 16, 64)
	assert.NilError(t, err)
	return n
}
