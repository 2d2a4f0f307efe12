package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cowsliphinge/clocker"
	"cowsliphinge/verifier"
)

// DialFunc opens a TCP connection within a timeout in milliseconds.
type DialFunc func(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error)

// Dialer opens connections to backend servers through other hosts.
type Dialer struct {
	// RouterKey authenticates this host.
	RouterKey string
	// Dial connects to the far host.
	Dial DialFunc
}

// DialServer connects to the server at address through the host at hostAddress. timeout is the
// far host's for the server. The error is ErrServerUnreachable or ErrHostUnavailable. Nothing was
// sent to the server in either case.
func (d Dialer) DialServer(ctx context.Context, hostAddress, address string, timeout clocker.Millis) (net.Conn, error) {
	c, err := d.Dial(ctx, hostAddress, timeout)
	if err != nil {
		return nil, ErrHostUnavailable{Address: hostAddress, Cause: err.Error()}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(clocker.FromNow(timeout + handshakeAllowance))
	announced, err := d.connect(c, hostAddress, address, timeout)
	if !stop() && err == nil {
		err = ErrHostUnavailable{Address: hostAddress, Cause: context.Cause(ctx).Error()}
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return &nearConn{Conn: c, reply: announced}, nil
}

// connect asks the far host to connect to the server and reads its reply.
func (d Dialer) connect(c net.Conn, hostAddress, address string, timeout clocker.Millis) (reply, error) {
	checked := verifier.NewConn(c) // up to the end of the reply
	unavailable := func(cause string) (reply, error) {
		return reply{}, ErrHostUnavailable{Address: hostAddress, Cause: cause}
	}
	_, err := fmt.Fprintf(checked, "CONNECT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %d\r\n%s: %s\r\n\r\n",
		address, address, d.RouterKey, timeoutHeader, timeout, endMarkHeader, endMarkValue)
	if err != nil {
		return unavailable(err.Error())
	}
	r := bufio.NewReader(io.LimitReader(checked, maxReplyBytes))
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return unavailable(err.Error())
	}
	switch {
	case resp.StatusCode == http.StatusBadGateway:
		return reply{}, ErrServerUnreachable{Address: address, Refused: resp.Header.Get(dialFailureHeader) == refusedFailure}
	case resp.StatusCode != http.StatusOK:
		return unavailable(resp.Status)
	case r.Buffered() > 0:
		return unavailable("bytes before the first request")
	}
	return readReply(resp.Header), nil
}
