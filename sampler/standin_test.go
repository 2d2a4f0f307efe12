package sampler_test

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/sampler"
	"cowsliphinge/standin/engine"
)

// TestStandInEngine queries a stand-in engine over loopback. Its answers carry no request
// ID.
func TestStandInEngine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clock := clocker.NewWall()
	e := engine.New(engine.Config{Clock: clock, Slots: 3})
	defer e.Close()
	server := &fasthttp.Server{Handler: e.Handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	s := sampler.New(sampler.Config{Clock: clock, Client: connector.New(connector.Config{Clock: clock})})
	report, err := s.FetchLoad(context.Background(), listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, report.Slots, int64(3))
	_, err = s.FetchCacheEvents(context.Background(), listener.Addr().String(), 0)
	assert.NilError(t, err)
}
