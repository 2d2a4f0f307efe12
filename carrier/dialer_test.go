package carrier

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// switchingDialer opens direct connections and says that they pass through a host.
type switchingDialer struct {
	via string
	// lost are the hosts of connections on which an exchange got no response.
	lost []string
}

func (d *switchingDialer) Dial(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, string, error) {
	c, err := DialDirect(ctx, address, timeout)
	return c, d.via, err
}

func (d *switchingDialer) Usable(via string) bool { return via == d.via }
func (d *switchingDialer) Lost(via string)        { d.lost = append(d.lost, via) }

// Guards against a request on an idle connection whose path is cut, or that passes through a host that
// stops: once the path changes, connections of the earlier one carry no further request.
func TestConnectionsOfAnEarlierPathAreNotReused(t *testing.T) {
	address, conns := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	dialer := &switchingDialer{}
	c := New(Config{Clock: clocker.NewManual(1000), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute, Dialer: dialer})
	target := Target{ID: "one", Address: address}
	for i, via := range []string{"", "front-b", "front-b", "front-c", ""} {
		dialer.via = via
		_, err := send(t, c, target, clocker.Minute)
		assert.NilError(t, err)
		assert.Equal(t, conns.Load(), []int64{1, 2, 2, 3, 4}[i])
	}
	dialer.via = "front-b"
	c.PruneIdle(func(string) bool { return true })
	assert.Equal(t, len(c.idle), 0)
}

// An exchange without a response tells the dialer of its path; one that the server refused or that its
// caller ended does not.
func TestLostExchangeIsReported(t *testing.T) {
	closing := make(chan struct{})
	address, _ := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(closing)
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	})
	dialer := &switchingDialer{via: "front-b"}
	c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, Dialer: dialer})
	_, err := send(t, c, Target{ID: "one", Address: address}, clocker.Minute)
	assert.Assert(t, connector.IsErrAborted(err), "%v", err)
	assert.DeepEqual(t, dialer.lost, []string{"front-b"})

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-closing
		cancel()
	}()
	_, err = c.Send(ctx, Target{ID: "one", Address: address}, Request{ID: "left", Method: "POST", URI: "/wait", Host: "h", Header: http.Header{"X-Id": {"left"}}})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(dialer.lost), 1)
}
